package fault

import (
	"context"
	"syscall"
	"time"

	"umberladder/internal/load/gauge"
	"umberladder/internal/load/plan"
)

// Kind is one kind of failure.
type Kind struct {
	Name string
	// HitsVM says that a VM dies or stands still, so that callers may see
	// connections break.
	HitsVM bool
	// Start brings the failure about and returns how to end it and how long
	// it should last.
	Start func(w *World) (Ending, error)
}

// Ending ends a failure after its time.
type Ending struct {
	After time.Duration
	Do    func() error
}

func nothing() error { return nil }

// Kinds lists every kind of failure.
func Kinds() []Kind {
	return []Kind{
		{Name: "kill-vm", HitsVM: true, Start: killVM},
		{Name: "freeze-vm", HitsVM: true, Start: freezeVM},
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
		{Name: "store-loses-replies", Start: storeLoses},
		{Name: "store-drops", Start: storeDrops},
	}
}

// Find returns the kind of a name.
func Find(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

func (w *World) kill(n plan.Endpoint) (Ending, error) {
	return Ending{After: time.Second, Do: nothing}, w.signal(n.Name, syscall.SIGKILL)
}

func (w *World) freeze(n plan.Endpoint, low, high time.Duration) (Ending, error) {
	thaw := func() error { return w.signal(n.Name, syscall.SIGCONT) }
	return Ending{After: w.between(low, high), Do: thaw}, w.signal(n.Name, syscall.SIGSTOP)
}

func killVM(w *World) (Ending, error)     { return w.kill(w.vm()) }
func killEngine(w *World) (Ending, error) { return w.kill(w.engine()) }
func killPlain(w *World) (Ending, error)  { return w.kill(w.plain()) }

// freezeVM may outlast the lease on idempotency keys.
func freezeVM(w *World) (Ending, error) {
	return w.freeze(w.vm(), 200*time.Millisecond, 20*time.Second)
}

func freezeEngine(w *World) (Ending, error) {
	return w.freeze(w.engine(), 200*time.Millisecond, 8*time.Second)
}

func drainVM(w *World) (Ending, error) {
	return Ending{After: 3 * time.Second, Do: nothing}, w.signal(w.vm().Name, syscall.SIGTERM)
}

// switched strikes one engine for a time.
func (w *World) switched(format string, args ...any) (Ending, error) {
	n := w.engine()
	off := func() error { return w.engineFault(n, `{}`) }
	return Ending{After: w.between(time.Second, 5*time.Second), Do: off}, w.engineFault(n, format, args...)
}

func stallEngine(w *World) (Ending, error) {
	return w.switched(`{"stall_ms":%d}`, 200+w.Rand.IntN(2500))
}

func cutEngine(w *World) (Ending, error) {
	return w.switched(`{"cut_after":%d}`, 1+w.Rand.IntN(20))
}

// cutLink cuts one VM off from one engine: nothing arrives, and nothing says so.
func cutLink(w *World) (Ending, error) {
	return w.switched(`{"cut_from":%q}`, w.vm().Address.Addr().String())
}

func refuseEngine(w *World) (Ending, error) { return w.switched(`{"refuse":true}`) }

func lateEngine(w *World) (Ending, error) {
	return w.switched(`{"late_ms":%d}`, 100+w.Rand.IntN(3500))
}

func foreignEngine(w *World) (Ending, error) {
	return w.switched(`{"cut_after":%d,"new_run":true}`, 5+w.Rand.IntN(20))
}

// reclaimEngine has an engine leave at short notice: it is killed after the
// notice, whatever still runs on it.
func reclaimEngine(w *World) (Ending, error) {
	n := w.engine()
	kill := func() error {
		// What it counted goes with it.
		if late, err := gauge.Late(context.Background(), n); err == nil {
			w.late.Add(int64(late))
		}
		return w.signal(n.Name, syscall.SIGKILL)
	}
	return Ending{After: w.between(4*time.Second, 8*time.Second), Do: kill}, w.engineFault(n, `{"leaving":true}`)
}

func cutPlain(w *World) (Ending, error) {
	n := w.plain()
	off := func() error { return w.plainFault(n, `{}`) }
	return Ending{After: w.between(time.Second, 4*time.Second), Do: off}, w.plainFault(n, `{"cut":true}`)
}

func latePlain(w *World) (Ending, error) {
	n := w.plain()
	off := func() error { return w.plainFault(n, `{}`) }
	return Ending{After: w.between(time.Second, 4*time.Second), Do: off}, w.plainFault(n, `{"late_ms":%d}`, 500+w.Rand.IntN(6000))
}

func (w *World) store(low, high time.Duration, format string, args ...any) (Ending, error) {
	off := func() error { return w.storeFault(`{}`) }
	return Ending{After: w.between(low, high), Do: off}, w.storeFault(format, args...)
}

func storeDown(w *World) (Ending, error) {
	return w.store(time.Second, 25*time.Second, `{"down":true}`)
}

func storeHang(w *World) (Ending, error) {
	return w.store(time.Second, 12*time.Second, `{"hang":true}`)
}

func storeSlow(w *World) (Ending, error) {
	return w.store(time.Second, 12*time.Second, `{"slow_ms":%d}`, 50+w.Rand.IntN(1500))
}

func storeLoses(w *World) (Ending, error) {
	return w.store(2*time.Second, 12*time.Second, `{"lose_replies":%.2f}`, 0.2+0.8*w.Rand.Float64())
}

// storeDrops has the store go down for a while as soon as a change of settings
// took effect.
func storeDrops(w *World) (Ending, error) {
	return w.store(5*time.Second, 12*time.Second, `{"drop_after_ms":4000}`)
}
