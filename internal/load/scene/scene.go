// Package scene names the trials that a fleet is put through: a load, the
// failures that strike meanwhile, and what must hold at the end.
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

	"umberladder/internal/fake/record"
	"umberladder/internal/load/drive"
	"umberladder/internal/load/fault"
	"umberladder/internal/load/gauge"
	"umberladder/internal/load/plan"
	"umberladder/internal/load/rivals"
	"umberladder/internal/policy/retry"
)

// Scene is one trial.
type Scene struct {
	Name  string
	About string
	// Graceful says that no VM dies: then no caller may see a connection
	// break.
	Graceful bool
	Race     bool // operators race meanwhile
	Faults   func(ctx context.Context, w *fault.Injector) error
}

// All lists the scenes: without failures, each kind of failure alone, all in
// pairs, a rolling restart, and racing operators.
func All() []Scene {
	out := []Scene{
		{Name: "calm", About: "no failures", Graceful: true, Faults: none},
		{Name: "pairs", About: "failures of all kinds, two at a time, drawn from the seed", Race: true, Faults: pairs},
		{Name: "rolling", About: "every VM is stopped gracefully in turn", Graceful: true, Faults: rolling},
		{Name: "settings-race", About: "operators race on one team and on two", Graceful: true, Race: true, Faults: none},
		{Name: "store-outage", About: "operators race while the store is down, slow, or loses replies", Graceful: true, Race: true, Faults: storeOutage},
	}
	for _, k := range fault.Kinds() {
		out = append(out, Scene{
			Name:     k.Name,
			About:    "this failure alone, again and again",
			Graceful: !k.AffectsVM,
			Race:     strings.HasPrefix(k.Name, "store-"),
			Faults:   only(k),
		})
	}
	return out
}

// Find returns the scene of a name.
func Find(name string) (Scene, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scene{}, trace.NotFound("there is no scene %q; see stress list", name)
}

func none(ctx context.Context, _ *fault.Injector) error {
	<-ctx.Done()
	return nil
}

const (
	restLeast = 500 * time.Millisecond
	restMost  = 3 * time.Second
	rollEvery = 2500 * time.Millisecond
)

// strike brings one failure about, waits its time, and ends it.
func strike(ctx context.Context, w *fault.Injector, k fault.Kind) error {
	end, err := k.Start(w)
	if err != nil {
		return nil //nolint:nilerr // the process is just being started again
	}
	retry.Pause(ctx, end.After)
	for range 20 {
		if end.Run() == nil {
			return nil
		}
		time.Sleep(restLeast)
	}
	return trace.Errorf("the failure %s could not be ended", k.Name)
}

func rest(ctx context.Context, w *fault.Injector) {
	retry.Pause(ctx, restLeast+time.Duration(w.Rand.Int64N(int64(restMost-restLeast))))
}

func only(k fault.Kind) func(context.Context, *fault.Injector) error {
	return func(ctx context.Context, w *fault.Injector) error {
		for ctx.Err() == nil {
			rest(ctx, w)
			if err := strike(ctx, w, k); err != nil {
				return err
			}
		}
		return nil
	}
}

func pairs(ctx context.Context, w *fault.Injector) error {
	kinds := fault.Kinds()
	for ctx.Err() == nil {
		rest(ctx, w)
		var g errgroup.Group
		for range 2 {
			k := kinds[w.Rand.IntN(len(kinds))]
			one := w.Fork()
			g.Go(func() error { return strike(ctx, one, k) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}

func rolling(ctx context.Context, w *fault.Injector) error {
	for ctx.Err() == nil {
		for _, vm := range w.Fleet.VMs {
			if err := w.Drain(vm); err != nil {
				return err
			}
			retry.Pause(ctx, rollEvery)
		}
	}
	return nil
}

func storeOutage(ctx context.Context, w *fault.Injector) error {
	names := []string{"store-down", "store-slow", "store-loses-replies", "store-hang", "store-drops"}
	for ctx.Err() == nil {
		k, _ := fault.Find(names[w.Rand.IntN(len(names))])
		rest(ctx, w)
		if err := strike(ctx, w, k); err != nil {
			return err
		}
	}
	return nil
}

// Result is the one-line result of a trial.
type Result struct {
	Scene string `json:"scene"`
	Seed  uint64 `json:"seed"`
	drive.Summary
	CutOff int `json:"cut-off"`   // connections that broke though no VM died
	Late   int `json:"late-work"` // offered to engines that had long been leaving
	// StallMS and Preempted are of the VMs and requests that are still there:
	// a killed VM's metrics are gone.
	StallMS   float64 `json:"stall-ms-per-request"`
	Preempted float64 `json:"preempted-per-1000"`
	CallBytes float64 `json:"peer-call-bytes-per-request"`
	Removals  int     `json:"vm-removals"` // times a VM took another for dead
	Store     Store   `json:"store"`
	// Violations counts the invariants that the VMs' logs say were violated.
	Violations int            `json:"violations"`
	Race       *rivals.Report `json:"race,omitempty"`
	Held       bool           `json:"held"`
}

// Store is what the platform's key-value service was asked in a trial, waiting
// watches included.
type Store struct {
	PerVM   float64 `json:"calls-per-second-of-the-busiest-vm"`
	Fleet   float64 `json:"calls-per-second"`
	Peak    int     `json:"calls-in-the-busiest-second"`
	Refused int     `json:"refused-by-its-rates"`
}

// storeUse compares what the store counted before and after.
func storeUse(before, after *gauge.StoreCalls, took time.Duration) Store {
	s := Store{Peak: after.Peak, Refused: after.Refused - before.Refused}
	most := 0
	for name, n := range after.Calls {
		most = max(most, n-before.Calls[name])
	}
	seconds := math.Max(1, took.Seconds())
	s.PerVM = float64(most) / seconds
	s.Fleet = float64(after.Total()-before.Total()) / seconds
	return s
}

// measure reads the users' own measures off the VMs.
func (r *Result) measure(ctx context.Context, f *plan.Fleet) {
	for _, vm := range f.VMs {
		m, err := gauge.Scrape(ctx, vm)
		if err != nil {
			continue // it is just being started again
		}
		r.StallMS += 1000 * m["umberladder_stall_seconds_total"]
		r.CallBytes += m["umberladder_peer_call_bytes_total"]
		r.Removals += int(m["umberladder_vm_removals_total"])
		r.Preempted += 1000 * m["umberladder_preemptions_total"]
	}
	r.CallBytes /= math.Max(1, float64(r.Requests))
	r.StallMS /= math.Max(1, float64(r.Requests))
	r.Preempted /= math.Max(1, float64(r.Requests))
}

// violations counts them in the VMs' logs, which outlive the processes.
func violations(f *plan.Fleet) (int, error) {
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

// raceHeld reports whether the operators' race held, if there was one. Where no
// VM dies or stands still, changes must also be in force in time.
func (s *Scene) raceHeld(r *rivals.Report) bool {
	if r == nil {
		return true
	}
	return r.Held() && (!s.Graceful || r.InTime())
}

// Run puts a running fleet through the scene.
func (s *Scene) Run(ctx context.Context, f *plan.Fleet, mix drive.Mix, seed uint64) (*Result, error) {
	faults, cancel := context.WithTimeout(ctx, mix.Duration)
	defer cancel()
	var g errgroup.Group
	world := fault.New(f, rand.New(rand.NewPCG(seed, 20)))
	g.Go(func() error { return s.Faults(faults, world) })
	res := &Result{Scene: s.Name, Seed: seed}
	if s.Race {
		g.Go(func() error {
			res.Race = rivals.New(f, seed).Run(faults)
			return nil
		})
	}
	before, err := gauge.Store(ctx, f.Store)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	run := drive.Send(ctx, f.VMs, mix.Schedule(seed), seed)
	cancel()
	if err := g.Wait(); err != nil {
		return nil, trace.Wrap(err)
	}
	runs, err := record.Read(f.RunLogFiles())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res.Summary = run.Summarise(runs)
	if s.Graceful {
		res.CutOff = run.ConnectionBreaks()
	}
	res.measure(ctx, f)
	after, err := gauge.Store(ctx, f.Store)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res.Store = storeUse(before, after, run.Elapsed)
	if res.Violations, err = violations(f); err != nil {
		return nil, trace.Wrap(err)
	}
	res.Late = world.LateRequests()
	res.Held = res.Summary.OK() && res.CutOff == 0 && res.Late == 0 && res.Violations == 0 && s.raceHeld(res.Race)
	return res, nil
}
