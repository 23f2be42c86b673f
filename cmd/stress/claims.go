package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"umberladder/internal/load/drive"
	"umberladder/internal/load/plan"
	"umberladder/internal/load/stats"
)

// claimWire holds the cost of one kind of idempotency key per call.
type claimWire struct {
	Key        string  `json:"key"`
	Calls      int     `json:"calls"`
	P50        float64 `json:"p50-ms"`
	P99        float64 `json:"p99-ms"`
	StoreCalls float64 `json:"store-calls-per-call"`
}

// keyKinds lists the kinds of idempotency keys, each with a function that creates
// one.
var keyKinds = []struct {
	name string
	make func() string
}{
	{"none", func() string { return "" }},
	{"uuid-v7", func() string { return uuid.Must(uuid.NewV7()).String() }},
	{"other", func() string { return "order-" + uuid.NewString() }},
}

func newClaims() *cobra.Command {
	var flags fleetFlags
	var calls int
	var pause time.Duration
	c := &cobra.Command{
		Use:   "claims",
		Short: "Measure the latency and the store calls that an idempotency key adds to a plain call",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := flags.fleet()
			if err != nil {
				return err
			}
			for _, kind := range keyKinds {
				result, err := measureClaims(c.Context(), f, kind.make, calls, pause)
				if err != nil {
					return err
				}
				result.Key = kind.name
				if err := printLine(c, result); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags.add(c)
	c.Flags().IntVar(&calls, "calls", 400, "number of calls with each kind of key, sent one after the other to the VMs in turn")
	c.Flags().DurationVar(&pause, "pause", 10*time.Millisecond, "pause between calls, to stay within the VMs' store budgets")
	return c
}

func measureClaims(ctx context.Context, f *plan.Fleet, newKey func() string, calls int, pause time.Duration) (*claimWire, error) {
	before, err := stats.FetchStoreCalls(ctx, f.Store)
	if err != nil {
		return nil, err
	}
	latencies := drive.NewHistogram()
	for i := range calls {
		start := time.Now()
		if err := callBooking(ctx, f.VMs[i%len(f.VMs)], newKey()); err != nil {
			return nil, err
		}
		latencies.Add(time.Since(start))
		time.Sleep(pause)
	}
	after, err := stats.FetchStoreCalls(ctx, f.Store)
	if err != nil {
		return nil, err
	}
	const q50, q99 = 50, 99
	return &claimWire{
		Calls:      calls,
		P50:        drive.Millis(latencies.Percentile(q50)),
		P99:        drive.Millis(latencies.Percentile(q99)),
		StoreCalls: float64(after.Total()-before.Total()) / float64(calls),
	}, nil
}

// callBooking makes one at-most-once plain call, without an idempotency key if key
// is empty.
func callBooking(ctx context.Context, vm plan.Endpoint, key string) error {
	url := fmt.Sprintf("http://%s/v1/services/%s/do?tag=cost-%s", vm.Address, plan.Bookings, uuid.NewString())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+plan.ClientKey(plan.Installers))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s responded with status %d", vm.Name, resp.StatusCode)
	}
	return nil
}
