package probe

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/port"
	"umberladder/internal/state/backs"
)

const service = ident.Service("s")

var first = ident.NewServer("a", time.UnixMilli(1000))

// engines answers all questions alike.
type engines struct {
	report port.Report
	err    error
	after  time.Duration
	asked  int
}

func (e *engines) Report(ctx context.Context, _ *backs.Server) (port.Report, error) {
	e.asked++
	select {
	case <-time.After(e.after):
		return e.report, e.err
	case <-ctx.Done():
		return port.Report{}, ctx.Err()
	}
}

// play has one engine asked for a second and returns whether it is still used,
// and which ones count as dead.
func play(t *testing.T, e *engines, on bool) (used bool, dead []ident.Server) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tab := backs.NewTable(func() {})
		tab.Put(backs.Entry{ID: first, Service: service, Slots: 1})
		services := func(time.Time) []ident.Service {
			if !on {
				return nil
			}
			return []ident.Service{service}
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second+Every/2)
		defer cancel()
		var g errgroup.Group
		New(tab, e, services, func(ids []ident.Server, _ time.Time) { dead = append(dead, ids...) }, &g, zap.NewNop()).Run(ctx)
		assert.NilError(t, g.Wait())
		used = len(tab.View().Service(service)) == 1
	})
	return used, dead
}

func TestProber(t *testing.T) {
	for name, tc := range map[string]struct {
		engines engines
		off     bool
		used    bool
		dead    bool
		asked   int
	}{
		"one that works":              {used: true, asked: 5},
		"one that leaves":             {engines: engines{report: port.Report{Leaving: true}}, asked: 1},
		"one that started anew":       {engines: engines{report: port.Report{Born: time.UnixMilli(2000)}}, asked: 1},
		"the same start":              {engines: engines{report: port.Report{Born: time.UnixMilli(1000)}}, used: true, asked: 5},
		"one that is dead":            {engines: engines{err: &port.SendError{Unsent: true, Err: errors.New("refused")}}, used: true, dead: true, asked: 5},
		"one that is silent":          {engines: engines{after: time.Minute}, used: true, asked: 2},
		"while the store is in reach": {off: true, engines: engines{report: port.Report{Leaving: true}}, used: true},
	} {
		t.Run(name, func(t *testing.T) {
			used, dead := play(t, &tc.engines, !tc.off)
			assert.Equal(t, used, tc.used)
			assert.Equal(t, len(dead) > 0, tc.dead)
			assert.Equal(t, tc.engines.asked, tc.asked)
		})
	}
}

// TestMany has a VM ask thousands of engines: a bounded number at a time, and all of
// them in turn.
func TestMany(t *testing.T) {
	const engines = 3000
	tab := backs.NewTable(func() {})
	var list []backs.Entry
	for n := range engines {
		list = append(list, backs.Entry{ID: ident.NewServer(fmt.Sprint("e-", n), time.UnixMilli(1000)), Service: service, Slots: 1})
	}
	now := time.Now()
	tab.Replace(list, time.Time{}, now)
	p := New(tab, nil, func(time.Time) []ident.Service { return []ident.Service{service} }, nil, nil, zap.NewNop())
	seen := make(map[ident.Server]bool)
	for range engines / most {
		now = now.Add(Every)
		round := p.due(now)
		assert.Assert(t, len(round) <= most, "%d questions in a round", len(round))
		for _, s := range round {
			seen[s.ID] = true
			p.end(s.ID)
		}
	}
	assert.Equal(t, len(seen), engines)
}
