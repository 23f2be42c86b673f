package pace

import (
	"time"

	"umberladder/internal/core/ident"
)

// Speed is what a Table knows of one engine.
type Speed struct {
	Server   ident.Server
	PerToken time.Duration // time per token
	Slow     bool          // it is classified as slow
}

// Speeds returns the engines of a service whose time per token is known, in no order, and the
// median as of the last placement; zero: fewer than 3 were known then. It changes nothing in the Table.
func (t *Table) Speeds(name ident.Service, now time.Time) ([]Speed, time.Duration) {
	ids, engines, median := t.copyEngines(name, now)
	out := make([]Speed, len(engines))
	for i := range engines {
		out[i] = Speed{Server: ids[i], PerToken: engines[i].drift(median, now), Slow: engines[i].slow}
	}
	return out, median
}

// copyEngines returns copies of the known engines of a service, and the median.
func (t *Table) copyEngines(name ident.Service, now time.Time) ([]ident.Server, []engine, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return nil, nil, 0
	}
	ids, engines := make([]ident.Server, 0, len(s.engines)), make([]engine, 0, len(s.engines))
	for id, e := range s.engines {
		if now.Sub(e.measuredAt) <= retention {
			ids, engines = append(ids, id), append(engines, *e)
		}
	}
	return ids, engines, s.median
}
