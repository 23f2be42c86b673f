package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"umberladder/internal/load/fault"
	"umberladder/internal/load/gauge"
	"umberladder/internal/load/plan"
)

// controlWire is what control costs a VM of an idle fleet, on average.
type controlWire struct {
	VMs           int     `json:"vms"`
	Engines       int     `json:"engines"`
	CPUPercent    float64 `json:"cpu-percent-of-a-core"`
	MemoryMB      float64 `json:"resident-mb"`
	SentBytes     float64 `json:"sent-bytes-per-second"`
	ReceivedBytes float64 `json:"received-bytes-per-second"`
	Packets       float64 `json:"sent-packets-per-second"`
	StoreCalls    float64 `json:"store-calls-per-second"`
	DeathSeen     float64 `json:"all-know-of-a-death-s"`
	FalseRemovals int     `json:"false-removals"`
}

func newControl() *cobra.Command {
	var flags fleetFlags
	var d time.Duration
	c := &cobra.Command{
		Use:   "control",
		Short: "Measure what control costs each VM of an idle fleet, and how soon a death is known",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			row, err := measure(c.Context(), f, d)
			if err != nil {
				return err
			}
			return printLine(c, row)
		},
	}
	flags.add(c)
	c.Flags().DurationVar(&d, "duration", 20*time.Second, "how long to measure")
	return c
}

// sample is what a VM has used so far.
type sample struct {
	cpu     time.Duration
	metrics gauge.Metrics
}

func sampleAll(ctx context.Context, f *plan.Fleet) ([]sample, error) {
	var out []sample
	for _, vm := range f.VMs {
		cpu, err := gauge.CPUTime(f, vm.Name)
		if err != nil {
			return nil, err
		}
		m, err := gauge.Scrape(ctx, vm)
		if err != nil {
			return nil, err
		}
		out = append(out, sample{cpu, m})
	}
	return out, nil
}

func measure(ctx context.Context, f *plan.Fleet, d time.Duration) (*controlWire, error) {
	row := &controlWire{VMs: len(f.VMs), Engines: len(f.Engines)}
	before, err := sampleAll(ctx, f)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(d)
	after, err := sampleAll(ctx, f)
	if err != nil {
		return nil, err
	}
	n, s := float64(len(f.VMs)), time.Since(start).Seconds()
	for i := range after {
		a, b := after[i], before[i]
		rate := func(name string) float64 { return (a.metrics[name] - b.metrics[name]) / s / n }
		row.CPUPercent += 100 * (a.cpu - b.cpu).Seconds() / s / n
		row.MemoryMB += a.metrics["process_resident_memory_bytes"] / 1e6 / n
		row.SentBytes += rate("umberladder_peer_sent_bytes_total")
		row.ReceivedBytes += rate("umberladder_peer_received_bytes_total")
		row.Packets += rate("umberladder_peer_sent_packets_total")
		row.StoreCalls += rate("umberladder_store_calls_total")
		if int(a.metrics["umberladder_live_vms"]) != len(f.VMs) {
			row.FalseRemovals++
		}
	}
	seen, err := death(ctx, f)
	row.DeathSeen = seen.Seconds()
	return row, err
}

var errUnseen = errors.New("a death was not seen by all within a minute")

// death freezes a VM and measures until all others have removed it.
func death(ctx context.Context, f *plan.Fleet) (time.Duration, error) {
	k, _ := fault.Find("freeze-vm")
	w := fault.New(f, rand.New(rand.NewPCG(1, 0)))
	start := time.Now()
	end, err := k.Start(w)
	if err != nil {
		return 0, err
	}
	defer func() { _ = end.Run() }()
	for time.Since(start) < time.Minute {
		seen := 0
		for _, vm := range f.VMs {
			one, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			m, err := gauge.Scrape(one, vm)
			cancel()
			if err == nil && int(m["umberladder_live_vms"]) == len(f.VMs)-1 {
				seen++
			}
		}
		if seen == len(f.VMs)-1 {
			return time.Since(start), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errUnseen
}
