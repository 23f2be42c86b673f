// Package scene defines the scenarios ("scenes" on the command line) of load
// tests: the faults that are injected into a fleet under load, and what must hold
// at the end.
package scene

import (
	"context"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/fake/runlog"
	"umberladder/internal/load/drive"
	"umberladder/internal/load/fault"
	"umberladder/internal/load/plan"
	"umberladder/internal/load/race"
	"umberladder/internal/load/stats"
	"umberladder/internal/policy/retry"
)

// Scenario defines the faults of a load test and the conditions under which it passes.
type Scenario struct {
	Name        string
	Description string
	// Graceful says that no VM is killed or paused. Then no client may see a broken
	// connection.
	Graceful          bool
	ConcurrentUpdates bool // operators update settings concurrently during the run
	InjectFaults      func(ctx context.Context, inj *fault.Injector) error
}

// All returns the scenarios: no faults, each kind of fault alone, pairs of faults
// of all kinds, a rolling restart, and concurrent settings updates.
func All() []Scenario {
	out := []Scenario{
		{Name: "calm", Description: "no faults", Graceful: true, InjectFaults: noFaults},
		{Name: "pairs", Description: "faults of all kinds, two at a time, drawn from the seed", ConcurrentUpdates: true, InjectFaults: faultPairs},
		{Name: "rolling", Description: "every VM is stopped gracefully in turn", Graceful: true, InjectFaults: rollingRestart},
		{Name: "settings-race", Description: "operators update the settings of two workspaces concurrently, two on each", Graceful: true, ConcurrentUpdates: true, InjectFaults: noFaults},
		{Name: "store-outage", Description: "operators update settings concurrently while the store is down, slow, or loses replies", Graceful: true, ConcurrentUpdates: true, InjectFaults: storeOutage},
	}
	for _, k := range fault.Kinds() {
		out = append(out, Scenario{
			Name:              k.Name,
			Description:       "this fault alone, repeatedly",
			Graceful:          !k.AffectsVM,
			ConcurrentUpdates: strings.HasPrefix(k.Name, "store-"),
			InjectFaults:      repeatFault(k),
		})
	}
	return out
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, trace.NotFound("scene %q does not exist; see stress list", name)
}

func noFaults(ctx context.Context, _ *fault.Injector) error {
	<-ctx.Done()
	return nil
}

const (
	minPause      = 500 * time.Millisecond
	maxPause      = 3 * time.Second
	drainInterval = 2500 * time.Millisecond
)

// injectFault injects one fault, waits for its duration, and undoes it.
func injectFault(ctx context.Context, inj *fault.Injector, k fault.Kind) error {
	undo, err := k.Start(inj)
	if err != nil {
		return nil //nolint:nilerr // the process is just being started again
	}
	retry.Sleep(ctx, undo.After)
	for range 20 {
		if undo.Run() == nil {
			return nil
		}
		time.Sleep(minPause)
	}
	return trace.Errorf("the fault %s could not be undone", k.Name)
}

func pause(ctx context.Context, inj *fault.Injector) {
	retry.Sleep(ctx, minPause+time.Duration(inj.Rand.Int64N(int64(maxPause-minPause))))
}

func repeatFault(k fault.Kind) func(context.Context, *fault.Injector) error {
	return func(ctx context.Context, inj *fault.Injector) error {
		for ctx.Err() == nil {
			pause(ctx, inj)
			if err := injectFault(ctx, inj, k); err != nil {
				return err
			}
		}
		return nil
	}
}

func faultPairs(ctx context.Context, inj *fault.Injector) error {
	kinds := fault.Kinds()
	for ctx.Err() == nil {
		pause(ctx, inj)
		var g errgroup.Group
		for range 2 {
			k := kinds[inj.Rand.IntN(len(kinds))]
			forked := inj.Fork()
			g.Go(func() error { return injectFault(ctx, forked, k) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}

func rollingRestart(ctx context.Context, inj *fault.Injector) error {
	for ctx.Err() == nil {
		for _, vm := range inj.Fleet.VMs {
			if err := inj.Drain(vm); err != nil {
				return err
			}
			retry.Sleep(ctx, drainInterval)
		}
	}
	return nil
}

func storeOutage(ctx context.Context, inj *fault.Injector) error {
	names := []string{"store-down", "store-slow", "store-loses-replies", "store-hang", "store-drops"}
	for ctx.Err() == nil {
		k, _ := fault.Find(names[inj.Rand.IntN(len(names))])
		pause(ctx, inj)
		if err := injectFault(ctx, inj, k); err != nil {
			return err
		}
	}
	return nil
}

// Result is the result of a scenario, printed as one line of JSON.
type Result struct {
	Scenario string `json:"scene"`
	Seed     uint64 `json:"seed"`
	drive.Summary
	ConnectionBreaks int `json:"cut-off"`   // requests with a broken connection though no VM was killed or paused
	LateRequests     int `json:"late-work"` // generations offered to engines more than 3 s after these began to drain
	// StallPerRequest (in milliseconds) and PreemptedPer1000 do not include the
	// metrics that were lost with killed VMs.
	StallPerRequest     float64   `json:"stall-ms-per-request"`
	PreemptedPer1000    float64   `json:"preempted-per-1000"`
	CallBytesPerRequest float64   `json:"peer-call-bytes-per-request"`
	VMRemovals          int       `json:"vm-removals"` // how often a VM removed another from its membership list as dead
	Store               StoreLoad `json:"store"`
	// Violations counts the violated invariants in the VMs' logs.
	Violations      int          `json:"violations"`
	SettingsUpdates *race.Report `json:"race,omitempty"`
	Passed          bool         `json:"held"`
}

// StoreLoad counts the calls to the platform's key-value store during a run,
// including pending watches.
type StoreLoad struct {
	BusiestVM     float64 `json:"calls-per-second-of-the-busiest-vm"`
	AllVMs        float64 `json:"calls-per-second"`
	PeakPerSecond int     `json:"calls-in-the-busiest-second"`
	Refused       int     `json:"refused-by-its-rates"`
}

// storeLoad returns the difference of the store's counters before and after a run.
func storeLoad(before, after *stats.StoreCalls, elapsed time.Duration) StoreLoad {
	s := StoreLoad{PeakPerSecond: after.Peak, Refused: after.Refused - before.Refused}
	busiest := 0
	for name, n := range after.Calls {
		busiest = max(busiest, n-before.Calls[name])
	}
	seconds := math.Max(1, elapsed.Seconds())
	s.BusiestVM = float64(busiest) / seconds
	s.AllVMs = float64(after.Total()-before.Total()) / seconds
	return s
}

// readMetrics reads the measures that matter to clients, and the bytes of calls
// between VMs, from the VMs' metrics.
func (r *Result) readMetrics(ctx context.Context, f *plan.Fleet) {
	for _, vm := range f.VMs {
		metrics, err := stats.Scrape(ctx, vm)
		if err != nil {
			continue // the VM is being restarted
		}
		r.StallPerRequest += 1000 * metrics["umberladder_stall_seconds_total"]
		r.CallBytesPerRequest += metrics["umberladder_peer_call_bytes_total"]
		r.VMRemovals += int(metrics["umberladder_vm_removals_total"])
		r.PreemptedPer1000 += 1000 * metrics["umberladder_preemptions_total"]
	}
	r.CallBytesPerRequest /= math.Max(1, float64(r.Requests))
	r.StallPerRequest /= math.Max(1, float64(r.Requests))
	r.PreemptedPer1000 /= math.Max(1, float64(r.Requests))
}

// countViolations counts the violated invariants in the VMs' logs, which remain
// when a process exits.
func countViolations(f *plan.Fleet) (int, error) {
	n := 0
	for _, vm := range f.VMs {
		data, err := os.ReadFile(filepath.Join(f.Dir, plan.LogDir, vm.Name+".log"))
		if err != nil {
			return 0, trace.ConvertSystemError(err)
		}
		n += strings.Count(string(data), "invariant violated")
	}
	return n, nil
}

// updatesOK reports whether the settings updates, if there were any, violated no
// guarantee. If no VM is killed or paused, they must also be in force in time.
func (sc *Scenario) updatesOK(r *race.Report) bool {
	if r == nil {
		return true
	}
	return r.Passed() && (!sc.Graceful || r.InTime())
}

// Run runs the scenario on a running fleet.
func (sc *Scenario) Run(ctx context.Context, f *plan.Fleet, mix drive.Mix, seed uint64) (*Result, error) {
	faultsCtx, cancel := context.WithTimeout(ctx, mix.Duration)
	defer cancel()
	var g errgroup.Group
	inj := fault.New(f, rand.New(rand.NewPCG(seed, 20)))
	g.Go(func() error { return sc.InjectFaults(faultsCtx, inj) })
	res := &Result{Scenario: sc.Name, Seed: seed}
	if sc.ConcurrentUpdates {
		g.Go(func() error {
			res.SettingsUpdates = race.New(f, seed).Run(faultsCtx)
			return nil
		})
	}
	before, err := stats.FetchStoreCalls(ctx, f.Store)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	run := drive.Send(ctx, f.VMs, mix.Schedule(seed), seed)
	cancel()
	if err := g.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	runs, err := runlog.Read(f.RunLogFiles())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res.Summary = run.Summarise(runs)
	if sc.Graceful {
		res.ConnectionBreaks = run.ConnectionBreaks()
	}
	res.readMetrics(ctx, f)
	after, err := stats.FetchStoreCalls(ctx, f.Store)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res.Store = storeLoad(before, after, run.Elapsed)
	if res.Violations, err = countViolations(f); err != nil {
		return nil, trace.Wrap(err)
	}
	res.LateRequests = inj.LateRequests()
	res.Passed = res.Summary.Passed() && res.ConnectionBreaks == 0 && res.LateRequests == 0 && res.Violations == 0 && sc.updatesOK(res.SettingsUpdates)
	return res, nil
}
