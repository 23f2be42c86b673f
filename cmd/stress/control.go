package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spf13/cobra"

	"umberladder/internal/load/fault"
	"umberladder/internal/load/plan"
	"umberladder/internal/load/stats"
)

// controlWire holds the control-plane overhead of an idle fleet, averaged per VM, and
// the time until all VMs have detected the death of one.
type controlWire struct {
	VMs           int     `json:"vms"`
	Engines       int     `json:"engines"`
	CPUPercent    float64 `json:"cpu-percent-of-a-core"`
	MemoryMB      float64 `json:"resident-mb"`
	SentBytes     float64 `json:"sent-bytes-per-second"`
	ReceivedBytes float64 `json:"received-bytes-per-second"`
	Packets       float64 `json:"sent-packets-per-second"`
	StoreCalls    float64 `json:"store-calls-per-second"`
	DeathDetected float64 `json:"all-know-of-a-death-s"`
	FalseRemovals int     `json:"false-removals"`
}

func newControl() *cobra.Command {
	var flags fleetFlags
	var d time.Duration
	c := &cobra.Command{
		Use:   "control",
		Short: "Measure the control-plane overhead per VM of an idle fleet, and how soon the death of a VM is detected",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			result, err := measureControl(c.Context(), f, d)
			if err != nil {
				return err
			}
			return printLine(c, result)
		},
	}
	flags.add(c)
	c.Flags().DurationVar(&d, "duration", 20*time.Second, "duration of the measurement")
	return c
}

// usage holds the CPU time and the metrics of a VM at one point in time.
type usage struct {
	cpu     time.Duration
	metrics stats.Metrics
}

func sampleUsage(ctx context.Context, f *plan.Fleet) ([]usage, error) {
	var out []usage
	for _, vm := range f.VMs {
		cpu, err := stats.CPUTime(f, vm.Name)
		if err != nil {
			return nil, err
		}
		m, err := stats.Scrape(ctx, vm)
		if err != nil {
			return nil, err
		}
		out = append(out, usage{cpu, m})
	}
	return out, nil
}

func measureControl(ctx context.Context, f *plan.Fleet, d time.Duration) (*controlWire, error) {
	result := &controlWire{VMs: len(f.VMs), Engines: len(f.Engines)}
	before, err := sampleUsage(ctx, f)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(d)
	after, err := sampleUsage(ctx, f)
	if err != nil {
		return nil, err
	}
	n, s := float64(len(f.VMs)), time.Since(start).Seconds()
	for i := range after {
		a, b := after[i], before[i]
		rate := func(name string) float64 { return (a.metrics[name] - b.metrics[name]) / s / n }
		result.CPUPercent += 100 * (a.cpu - b.cpu).Seconds() / s / n
		result.MemoryMB += a.metrics["process_resident_memory_bytes"] / 1e6 / n
		result.SentBytes += rate("umberladder_peer_sent_bytes_total")
		result.ReceivedBytes += rate("umberladder_peer_received_bytes_total")
		result.Packets += rate("umberladder_peer_sent_packets_total")
		result.StoreCalls += rate("umberladder_store_calls_total")
		if int(a.metrics["umberladder_live_vms"]) != len(f.VMs) {
			result.FalseRemovals++
		}
	}
	detection, err := measureDeathDetection(ctx, f)
	result.DeathDetected = detection.Seconds()
	return result, err
}

var errNotDetected = errors.New("the death of a VM was not detected by all others within a minute")

// measureDeathDetection pauses a VM and returns the time until all others have
// removed it.
func measureDeathDetection(ctx context.Context, f *plan.Fleet) (time.Duration, error) {
	k, _ := fault.Find("freeze-vm")
	inj := fault.New(f, rand.New(rand.NewPCG(1, 0)))
	start := time.Now()
	undo, err := k.Start(inj)
	if err != nil {
		return 0, err
	}
	defer func() { _ = undo.Run() }()
	for time.Since(start) < time.Minute {
		detected := 0
		for _, vm := range f.VMs {
			scrapeCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			m, err := stats.Scrape(scrapeCtx, vm)
			cancel()
			if err == nil && int(m["umberladder_live_vms"]) == len(f.VMs)-1 {
				detected++
			}
		}
		if detected == len(f.VMs)-1 {
			return time.Since(start), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errNotDetected
}
