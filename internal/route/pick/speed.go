package pick

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
	"umberladder/internal/policy/pace"
	"umberladder/internal/route/alloc"
)

// OnPaceChange sets the function that is called when an engine becomes slow and when it is no
// longer slow. It must not call the Chooser.
func (c *Chooser) OnPaceChange(f func(pace.Change)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onPace = f
}

// SlowEngines returns the number of engines that this VM classifies as slow. Only a VM that has
// placed runs of their service knows of them.
func (c *Chooser) SlowEngines(now time.Time) int { return c.paces.SlowCount(now) }

func (c *Chooser) paceChanged(change pace.Change) {
	c.mu.Lock()
	f := c.onPace
	c.mu.Unlock()
	if f != nil {
		f(change)
	}
}

// paceOf records what the streams at an engine have measured, and returns the engine's speed for
// the placement of a new run. It is the zero value if the engines do not differ.
func paceOf(speeds *pace.View, purpose Purpose, id ident.Server, l alloc.Load) assign.Pace {
	if l.PaceRuns < 0 || l.PaceRuns > l.Calls {
		// No more runs can have measured than are in flight.
		l.PaceRuns, l.PaceMicros = 0, 0
	}
	perToken := speeds.Observe(id, l.PaceRuns, l.PaceMicros)
	if !speeds.Differ || purpose != NewRun {
		return assign.Pace{}
	}
	return assign.Pace{PerToken: perToken, Median: speeds.Median, Streams: l.PaceRuns}
}
