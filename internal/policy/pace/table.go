package pace

import (
	"math"
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// averageTime is the time constant of an engine's moving average. A speed learned in a bad
	// moment is corrected within 2 s, including the half second between two reports.
	averageTime = 500 * time.Millisecond
	// retention is how long an engine's time per token is kept without a new measurement.
	retention = 30 * time.Second
	// driftTime is the time constant with which it moves toward the median meanwhile.
	driftTime = 10 * time.Second
	// medianInterval is how often the median of a service is computed.
	medianInterval = 100 * time.Millisecond
	// maxCompared bounds the engines from which the median is computed, which is as good for a
	// larger service.
	maxCompared = 512
	// maxTargets bounds the gap targets that are kept of a service, whose routes have a few.
	maxTargets = 16
	// minKnown is the number of engines with a known time per token from which a service's
	// engines may count as different.
	minKnown = 3
	// slowFactor is the multiple of the median above which an engine is slow, and engines
	// differ if a tenth of them are. Different batches alone cause smaller differences.
	slowFactor = 1.3
	// recoveredFactor is the multiple of the median below which an engine is no longer slow.
	// It is lower than slowFactor, so that an engine near it is not reported repeatedly.
	recoveredFactor = 1.2
	// confirmTime is how long an engine must be over or under these multiples before it is
	// reported as slow or as recovered. The first streams of an engine may have measured it
	// only while it also prefilled prompts.
	confirmTime = 2 * time.Second
	// minMeasured and maxMeasured bound the mean of the times per token that are recorded. Others
	// are errors of a VM or of a message, and would distort the median.
	minMeasured = 100 * time.Microsecond
	maxMeasured = 10 * time.Second
	// slowestShare is the fraction of engines that are not among the slowest tenth.
	slowestShare = 0.9
)

// Change is a change of an engine's classification as slow.
type Change struct {
	Service  ident.Service
	Server   ident.Server
	Slow     bool
	PerToken time.Duration // time per token of the engine
	Median   time.Duration // of the service's engines
}

// Table keeps the time per token of engines. It is safe for concurrent use.
type Table struct {
	onChange func(Change)

	mu       sync.Mutex
	services map[ident.Service]*service
}

type service struct {
	engines    map[ident.Server]*engine
	median     time.Duration // zero: not known
	differ     bool
	computedAt time.Time
	targets    []target // stated within the retention period: ascending by gap and by time
}

// target is the gap target that a run of a service stated.
type target struct {
	gap         time.Duration
	eventTokens int
	statedAt    time.Time
}

type engine struct {
	perToken   time.Duration
	measuredAt time.Time // when a stream last reported it
	updatedAt  time.Time
	slow       bool
	changingAt time.Time // since when the time per token contradicts slow; zero: it does not
}

// NewTable returns a Table without measurements. onChange is called when an
// engine becomes slow and when it is no longer slow. It may use the Table.
func NewTable(onChange func(Change)) *Table {
	return &Table{onChange: onChange, services: make(map[ident.Service]*service)}
}

// View is what a Table knows of a service's engines at one time.
type View struct {
	table *Table
	name  ident.Service
	now   time.Time

	Differ      bool          // the engines differ so much that their speed matters
	Median      time.Duration // median time per token
	GapTarget   time.Duration // target for the time between two events of the service's streams; zero: none
	EventTokens int           // tokens per event of these streams
}

// View returns what is known of a service's engines. gapTarget and eventTokens are those of the
// run for which it is used. The smallest target that a run of the service has stated recently
// applies, as streams with that target may be under way.
func (t *Table) View(name ident.Service, gapTarget time.Duration, eventTokens int, now time.Time) View {
	v, changes := t.view(name, gapTarget, eventTokens, now)
	for _, c := range changes {
		t.onChange(c)
	}
	return v
}

// view returns the view of a service, and the changes to pass to onChange.
func (t *Table) view(name ident.Service, gapTarget time.Duration, eventTokens int, now time.Time) (View, []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{table: t, name: name, now: now, GapTarget: gapTarget, EventTokens: eventTokens}
	s := t.services[name]
	if s == nil {
		return v, nil
	}
	s.state(target{gap: gapTarget, eventTokens: eventTokens, statedAt: now})
	var changes []Change
	if now.Sub(s.computedAt) >= medianInterval {
		changes = t.refresh(name, s, now)
	}
	v.Differ, v.Median = s.differ, s.median
	if len(s.targets) > 0 {
		v.GapTarget, v.EventTokens = s.targets[0].gap, s.targets[0].eventTokens
	}
	return v, changes
}

// state records a gap target, and drops those that are outdated and those that are not smaller
// than a later one.
func (s *service) state(stated target) {
	for len(s.targets) > 0 && stated.statedAt.Sub(s.targets[0].statedAt) > retention {
		s.targets = s.targets[1:]
	}
	if stated.gap <= 0 || stated.eventTokens <= 0 {
		return
	}
	for len(s.targets) > 0 && s.targets[len(s.targets)-1].gap >= stated.gap {
		s.targets = s.targets[:len(s.targets)-1]
	}
	if len(s.targets) < maxTargets {
		s.targets = append(s.targets, stated)
	}
}

// Observe records the sum of the times per token that runs have measured at an engine, in
// microseconds, and returns the engine's time per token; zero: unknown. It ignores a mean that
// cannot be true.
func (v *View) Observe(id ident.Server, runs, micros int) time.Duration {
	v.table.mu.Lock()
	defer v.table.mu.Unlock()
	s := v.table.services[v.name]
	measured, plausible := meanPerToken(runs, micros)
	if !plausible {
		if s == nil || s.engines[id] == nil {
			return 0
		}
		return s.engines[id].drift(s.median, v.now)
	}
	if s == nil {
		s = &service{engines: make(map[ident.Server]*engine)}
		s.state(target{gap: v.GapTarget, eventTokens: v.EventTokens, statedAt: v.now})
		v.table.services[v.name] = s
	}
	e := s.engines[id]
	if e == nil {
		e = &engine{perToken: measured, updatedAt: v.now}
		s.engines[id] = e
	}
	e.moveToward(measured, averageTime, v.now)
	e.measuredAt = v.now
	return e.perToken
}

// meanPerToken returns the mean of the times per token of runs, and whether it can be true.
func meanPerToken(runs, micros int) (time.Duration, bool) {
	if runs <= 0 || micros <= 0 {
		return 0, false
	}
	mean := float64(micros) / float64(runs) * float64(time.Microsecond)
	if mean < float64(minMeasured) || mean > float64(maxMeasured) {
		return 0, false
	}
	return time.Duration(mean), true
}

// moveToward moves the engine's time per token toward a value, by the time since its last update.
func (e *engine) moveToward(value, timeConstant time.Duration, now time.Time) {
	if elapsed := now.Sub(e.updatedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
		e.perToken = value + time.Duration(keep*float64(e.perToken-value))
		e.updatedAt = now
	}
}

// drift moves the time per token of an engine without new measurements toward the median, and
// returns it; zero: unknown.
func (e *engine) drift(median time.Duration, now time.Time) time.Duration {
	if now.Sub(e.measuredAt) > retention {
		return 0
	}
	if median > 0 {
		e.moveToward(median, driftTime, now)
	}
	return e.perToken
}

// refresh drops outdated engines, computes the median and classifies the engines. It returns the
// changes of their classification.
func (t *Table) refresh(name ident.Service, s *service, now time.Time) []Change {
	s.computedAt = now
	var known []time.Duration
	for id, e := range s.engines {
		if now.Sub(e.measuredAt) > retention {
			delete(s.engines, id)
			continue
		}
		if len(known) < maxCompared {
			known = append(known, e.perToken)
		}
	}
	if len(s.engines) == 0 {
		delete(t.services, name)
	}
	s.median, s.differ = 0, false
	if len(known) < minKnown {
		return nil
	}
	slices.Sort(known)
	s.median = known[len(known)/2]
	s.differ = exceeds(known[int(slowestShare*float64(len(known)))], s.median, slowFactor)
	var changes []Change
	for id, e := range s.engines {
		if e.reclassify(s.median, now) {
			changes = append(changes, Change{Service: name, Server: id, Slow: e.slow, PerToken: e.perToken, Median: s.median})
		}
	}
	return changes
}

// reclassify updates whether the engine is reported as slow, and reports whether that changed.
func (e *engine) reclassify(median time.Duration, now time.Time) bool {
	factor := slowFactor
	if e.slow {
		factor = recoveredFactor
	}
	switch {
	case exceeds(e.perToken, median, factor) == e.slow:
		e.changingAt = time.Time{}
	case e.changingAt.IsZero():
		e.changingAt = now
	case now.Sub(e.changingAt) >= confirmTime:
		e.slow, e.changingAt = !e.slow, time.Time{}
		return true
	}
	return false
}

func exceeds(a, b time.Duration, factor float64) bool { return float64(a) > factor*float64(b) }

// SlowCount returns the number of engines that are classified as slow.
func (t *Table) SlowCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.services {
		for _, e := range s.engines {
			if e.slow && now.Sub(e.measuredAt) <= retention {
				n++
			}
		}
	}
	return n
}
