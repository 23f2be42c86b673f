package fault

import (
	"context"
	"syscall"
	"time"

	"umberladder/internal/load/plan"
	"umberladder/internal/load/stats"
)

// Kind is one kind of fault.
type Kind struct {
	Name string
	// AffectsVM says that a VM is killed or paused, so that clients may see broken
	// connections.
	AffectsVM bool
	// Start injects the fault and returns how to undo it and how long it should
	// last.
	Start func(inj *Injector) (Undo, error)
}

// Undo says how and after what time a fault is undone.
type Undo struct {
	After time.Duration
	Run   func() error
}

func noop() error { return nil }

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return []Kind{
		{Name: "kill-vm", AffectsVM: true, Start: killVM},
		{Name: "freeze-vm", AffectsVM: true, Start: freezeVM},
		{Name: "drain-vm", Start: drainVM},
		{Name: "kill-engine", Start: killEngine},
		{Name: "freeze-engine", Start: freezeEngine},
		{Name: "stall-engine", Start: stallEngine},
		{Name: "cut-engine", Start: cutEngine},
		{Name: "cut-link", Start: cutLink},
		{Name: "refuse-engine", Start: refuseEngine},
		{Name: "late-engine", Start: lateEngine},
		{Name: "foreign-engine", Start: foreignEngine},
		{Name: "reclaim-engine", Start: reclaimEngine},
		{Name: "kill-plain", Start: killPlain},
		{Name: "cut-plain", Start: cutPlain},
		{Name: "late-plain", Start: latePlain},
		{Name: "store-down", Start: storeDown},
		{Name: "store-hang", Start: storeHang},
		{Name: "store-slow", Start: storeSlow},
		{Name: "store-loses-replies", Start: storeLosesReplies},
		{Name: "store-drops", Start: storeDrops},
	}
}

// Find returns the kind with the given name.
func Find(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

func (inj *Injector) kill(n plan.Endpoint) (Undo, error) {
	return Undo{After: time.Second, Run: noop}, inj.signal(n.Name, syscall.SIGKILL)
}

func (inj *Injector) freeze(n plan.Endpoint, low, high time.Duration) (Undo, error) {
	resume := func() error { return inj.signal(n.Name, syscall.SIGCONT) }
	return Undo{After: inj.randomDuration(low, high), Run: resume}, inj.signal(n.Name, syscall.SIGSTOP)
}

func killVM(inj *Injector) (Undo, error)     { return inj.kill(inj.randomVM()) }
func killEngine(inj *Injector) (Undo, error) { return inj.kill(inj.randomEngine()) }
func killPlain(inj *Injector) (Undo, error)  { return inj.kill(inj.randomPlain()) }

// freezeVM pauses a VM, possibly for longer than its lease on shards of idempotency
// keys lasts.
func freezeVM(inj *Injector) (Undo, error) {
	return inj.freeze(inj.randomVM(), 200*time.Millisecond, 20*time.Second)
}

func freezeEngine(inj *Injector) (Undo, error) {
	return inj.freeze(inj.randomEngine(), 200*time.Millisecond, 8*time.Second)
}

func drainVM(inj *Injector) (Undo, error) {
	return Undo{After: 3 * time.Second, Run: noop}, inj.signal(inj.randomVM().Name, syscall.SIGTERM)
}

// startEngineFault switches on a fault of a random engine.
func (inj *Injector) startEngineFault(format string, args ...any) (Undo, error) {
	n := inj.randomEngine()
	reset := func() error { return inj.setEngineFault(n, `{}`) }
	return Undo{After: inj.randomDuration(time.Second, 5*time.Second), Run: reset}, inj.setEngineFault(n, format, args...)
}

func stallEngine(inj *Injector) (Undo, error) {
	return inj.startEngineFault(`{"stall_ms":%d}`, 200+inj.Rand.IntN(2500))
}

func cutEngine(inj *Injector) (Undo, error) {
	return inj.startEngineFault(`{"cut_after":%d}`, 1+inj.Rand.IntN(20))
}

// cutLink simulates a network partition between one VM and one engine: traffic is
// dropped without an error.
func cutLink(inj *Injector) (Undo, error) {
	return inj.startEngineFault(`{"cut_from":%q}`, inj.randomVM().Address.Addr().String())
}

func refuseEngine(inj *Injector) (Undo, error) { return inj.startEngineFault(`{"refuse":true}`) }

func lateEngine(inj *Injector) (Undo, error) {
	return inj.startEngineFault(`{"late_ms":%d}`, 100+inj.Rand.IntN(3500))
}

// foreignEngine has an engine drop connections and respond to resumes with the
// events of another generation.
func foreignEngine(inj *Injector) (Undo, error) {
	return inj.startEngineFault(`{"cut_after":%d,"new_run":true}`, 5+inj.Rand.IntN(20))
}

// reclaimEngine has an engine announce a drain at short notice. It is killed 4 to
// 8 s later, even if generations still run on it.
func reclaimEngine(inj *Injector) (Undo, error) {
	n := inj.randomEngine()
	kill := func() error {
		// The engine's counters are lost when it is killed.
		if late, err := stats.LateRequests(context.Background(), n); err == nil {
			inj.lateRequests.Add(int64(late))
		}
		return inj.signal(n.Name, syscall.SIGKILL)
	}
	return Undo{After: inj.randomDuration(4*time.Second, 8*time.Second), Run: kill}, inj.setEngineFault(n, `{"leaving":true}`)
}

func cutPlain(inj *Injector) (Undo, error) {
	n := inj.randomPlain()
	reset := func() error { return inj.setPlainFault(n, `{}`) }
	return Undo{After: inj.randomDuration(time.Second, 4*time.Second), Run: reset}, inj.setPlainFault(n, `{"cut":true}`)
}

func latePlain(inj *Injector) (Undo, error) {
	n := inj.randomPlain()
	reset := func() error { return inj.setPlainFault(n, `{}`) }
	return Undo{After: inj.randomDuration(time.Second, 4*time.Second), Run: reset}, inj.setPlainFault(n, `{"late_ms":%d}`, 500+inj.Rand.IntN(6000))
}

func (inj *Injector) startStoreFault(low, high time.Duration, format string, args ...any) (Undo, error) {
	reset := func() error { return inj.setStoreFault(`{}`) }
	return Undo{After: inj.randomDuration(low, high), Run: reset}, inj.setStoreFault(format, args...)
}

func storeDown(inj *Injector) (Undo, error) {
	return inj.startStoreFault(time.Second, 25*time.Second, `{"down":true}`)
}

func storeHang(inj *Injector) (Undo, error) {
	return inj.startStoreFault(time.Second, 12*time.Second, `{"hang":true}`)
}

func storeSlow(inj *Injector) (Undo, error) {
	return inj.startStoreFault(time.Second, 12*time.Second, `{"slow_ms":%d}`, 50+inj.Rand.IntN(1500))
}

func storeLosesReplies(inj *Injector) (Undo, error) {
	return inj.startStoreFault(2*time.Second, 12*time.Second, `{"lose_replies":%.2f}`, 0.2+0.8*inj.Rand.Float64())
}

// storeDrops has the store go down for 4 s after each change of settings.
func storeDrops(inj *Injector) (Undo, error) {
	return inj.startStoreFault(5*time.Second, 12*time.Second, `{"drop_after_ms":4000}`)
}
