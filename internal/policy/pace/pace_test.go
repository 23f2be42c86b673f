package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

const (
	eventTokens = 4
	name        = ident.Service("engines")
	step        = 7 * time.Millisecond
)

// feed records n events at the given interval, starting one interval after now, and returns the
// time of the last one.
func feed(m *Meter, now time.Time, n int, interval time.Duration) time.Time {
	for range n {
		now = now.Add(interval)
		m.Observe(1, now)
	}
	return now
}

func assertPerToken(t *testing.T, m *Meter, want time.Duration) {
	t.Helper()
	got := m.PerToken(eventTokens)
	assert.Assert(t, got >= want*95/100 && got <= want*105/100, "%s per token, want %s", got, want)
}

func TestMeter(t *testing.T) {
	const event = eventTokens * step
	start := time.Now()
	t.Run("reports nothing before the second group", func(t *testing.T) {
		m := &Meter{}
		feed(m, start, 8, event)
		assert.Equal(t, m.PerToken(eventTokens), time.Duration(0))
	})
	t.Run("is not affected by prefill in the same batch and by slow periods", func(t *testing.T) {
		m := &Meter{}
		at := feed(m, start, 12, 2*event)
		at = feed(m, at, 6, event)
		at = feed(m, at, 8, event*5/2)
		feed(m, at, 8, 2*event)
		assertPerToken(t, m, step)
	})
	t.Run("follows an engine that becomes slower", func(t *testing.T) {
		m := &Meter{}
		at := feed(m, start, 40, event)
		feed(m, at, 40, 2*event)
		assertPerToken(t, m, 2*step)
	})
	t.Run("ignores events that were delayed together", func(t *testing.T) {
		m := &Meter{}
		at := feed(m, start, 20, event)
		at = feed(m, at, 1, 30*event)
		at = feed(m, at, 29, 10*time.Microsecond)
		feed(m, at, 40, event)
		assertPerToken(t, m, step)
	})
	t.Run("counts events that arrive together", func(t *testing.T) {
		m := &Meter{}
		m.Observe(1, start)
		for n := range 10 {
			m.Observe(3, start.Add(time.Duration(n+1)*3*event))
		}
		assertPerToken(t, m, step)
	})
	// A usual gap of microseconds made every later event seem delayed by a stall.
	t.Run("measures after an early stall and its burst", func(t *testing.T) {
		for _, early := range []int{1, 2, 4, 5, 6} {
			for _, spacing := range []time.Duration{2 * time.Microsecond, 600 * time.Microsecond} {
				m := &Meter{}
				at := feed(m, start, early, event)
				at = feed(m, at, 1, 30*event)
				at = feed(m, at, 29, spacing)
				feed(m, at, 60, event)
				assertPerToken(t, m, step)
			}
		}
	})
	t.Run("measures events that are read in pairs by separate calls", func(t *testing.T) {
		for _, first := range []int{1, 2, 3, 4, 5} {
			m := &Meter{}
			at := feed(m, start, first, event)
			for range 20 {
				at = feed(m, at, 1, 2*event)
				at = feed(m, at, 1, 2*time.Microsecond)
			}
			assertPerToken(t, m, step)
		}
	})
	t.Run("follows an engine that becomes much slower", func(t *testing.T) {
		m := &Meter{}
		at := feed(m, start, 40, event)
		feed(m, at, 80, 6*event)
		assertPerToken(t, m, 6*step)
	})
	t.Run("ignores groups that are too fast to be true", func(t *testing.T) {
		m := &Meter{}
		at := feed(m, start, 24, event)
		at = feed(m, at, 4, event/10)
		feed(m, at, 8, event)
		assertPerToken(t, m, step)
	})
	t.Run("without events", func(t *testing.T) {
		m := &Meter{}
		assert.Assert(t, !m.Observe(0, start))
		assert.Equal(t, m.PerToken(eventTokens), time.Duration(0))
	})
}

// reporter feeds a table with what streams report in virtual time.
type reporter struct {
	table   *Table
	now     time.Time
	changes []Change
}

func newReporter() *reporter {
	r := &reporter{now: time.Now()}
	r.table = NewTable(func(c Change) { r.changes = append(r.changes, c) })
	return r
}

// report reports a time per token of each engine every 50 ms for d; zero: no stream reports any.
func (r *reporter) report(d time.Duration, perToken ...time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(50 * time.Millisecond) {
		v := r.view()
		for n, p := range perToken {
			v.Observe(ident.Server(fmt.Sprint(n)), 3*int(min(p, 1)), 3*int(p.Microseconds()))
		}
	}
}

func (r *reporter) view() View { return r.table.View(name, 0, 0, r.now) }

func (r *reporter) perToken(n int) time.Duration {
	v := r.view()
	return v.Observe(ident.Server(fmt.Sprint(n)), 0, 0)
}

func TestTable(t *testing.T) {
	slow, fast := step*5/3, step*5/8
	t.Run("tells engines that differ", func(t *testing.T) {
		r := newReporter()
		r.report(3*time.Second, slow, step, fast, slow, step, fast)
		v := r.view()
		assert.Assert(t, v.Differ)
		assert.Equal(t, v.Median, step)
		assert.Equal(t, r.table.SlowCount(r.now), 2)
		assert.Equal(t, len(r.changes), 2)
	})
	t.Run("engines with different batches do not differ", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, step, step*5/4, step, step, step*11/10)
		assert.Assert(t, !r.view().Differ)
		assert.Equal(t, r.table.SlowCount(r.now), 0)
	})
	t.Run("two known engines say nothing", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, slow, 0, 0)
		assert.Assert(t, !r.view().Differ)
	})
	t.Run("a speed learned in a bad moment is corrected within 2 s", func(t *testing.T) {
		r := newReporter()
		r.report(600*time.Millisecond, step, step, step, step*5/2)
		assert.Assert(t, r.view().Differ)
		assert.Assert(t, r.perToken(3) > 2*step)
		r.report(1400*time.Millisecond, step, step, step, step)
		assert.Assert(t, !r.view().Differ)
		assert.Assert(t, r.perToken(3) < step*11/10)
		assert.Equal(t, len(r.changes), 0, "too short to be reported")
	})
	t.Run("an engine that recovers is reported once", func(t *testing.T) {
		r := newReporter()
		r.report(4*time.Second, step, step, step, slow)
		assert.Equal(t, r.table.SlowCount(r.now), 1)
		r.report(4*time.Second, step, step, step, step)
		assert.Equal(t, r.table.SlowCount(r.now), 0)
		assert.Equal(t, len(r.changes), 2, "one change to slow and one back")
	})
	t.Run("a speed without new measurements moves to the median and is then unknown", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, step, step, slow)
		r.report(10*time.Second, step, step, step, 0)
		assert.Assert(t, r.perToken(3) < (step+slow)/2)
		r.report(retention, step, step, step, 0)
		assert.Equal(t, r.perToken(3), time.Duration(0))
		assert.Equal(t, len(r.table.services[name].engines), 3, "engines kept")
	})
	t.Run("a new instance starts as unknown", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, step, slow, slow)
		assert.Equal(t, r.perToken(4), time.Duration(0))
	})
	t.Run("keeps no services without engines", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, step, step)
		r.report(retention+time.Second, 0, 0, 0)
		assert.Equal(t, len(r.table.services), 0)
	})
	t.Run("ignores measurements that cannot be true", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, step, step)
		v := r.view()
		for _, bad := range [][2]int{{1, 1}, {1, 11_000_000}, {1, math.MaxInt}, {-1, -7000}, {math.MaxInt, 7000}} {
			r.now = r.now.Add(time.Second)
			v = r.view()
			assert.Equal(t, v.Observe("0", bad[0], bad[1]), step)
			assert.Equal(t, v.Observe("new", bad[0], bad[1]), time.Duration(0))
		}
	})
	t.Run("remembers the gap target for runs that state none", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, step, step)
		r.table.View(name, 180*time.Millisecond, eventTokens, r.now)
		v := r.view()
		assert.Equal(t, v.GapTarget, 180*time.Millisecond)
		assert.Equal(t, v.EventTokens, eventTokens)
	})
	t.Run("keeps the smallest gap target of the retention period", func(t *testing.T) {
		r := newReporter()
		r.report(time.Second, step, step, step)
		r.table.View(name, 180*time.Millisecond, eventTokens, r.now)
		r.now = r.now.Add(retention / 2)
		r.report(time.Second, step, step, step)
		assert.Equal(t, r.table.View(name, time.Minute, 1, r.now).GapTarget, 180*time.Millisecond)
		r.report(retention/2, step, step, step)
		v := r.view()
		assert.Equal(t, v.GapTarget, time.Minute)
		assert.Equal(t, v.EventTokens, 1)
		r.report(retention, step, step, step)
		assert.Equal(t, r.view().GapTarget, time.Duration(0))
	})
	// A callback that used the table, or waited for a lock held around a call of it, did not return.
	t.Run("reports changes without its lock", func(t *testing.T) {
		r := newReporter()
		slowCount := 0
		r.table.onChange = func(Change) {
			if assert.Check(t, r.table.mu.TryLock(), "the table is locked") {
				r.table.mu.Unlock()
				slowCount = r.table.SlowCount(r.now)
			}
		}
		r.report(4*time.Second, step, step, step, slow)
		assert.Equal(t, slowCount, 1)
	})
}
