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
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

const service = ident.Service("s")

var firstInstance = ident.NewServer("a", time.UnixMilli(1000))

// engines responds to all probes in the same way.
type engines struct {
	report port.EngineReport
	err    error
	after  time.Duration
	probes int
}

func (e *engines) Report(ctx context.Context, _ *srvtab.Server) (port.EngineReport, error) {
	e.probes++
	select {
	case <-time.After(e.after):
		return e.report, e.err
	case <-ctx.Done():
		return port.EngineReport{}, ctx.Err()
	}
}

func noLoad(ident.Server) alloc.Load { return alloc.Load{} }

// probeForSecond probes one engine for a second. It returns whether the engine is
// still used, and the engines found unreachable.
func probeForSecond(t *testing.T, e *engines, storeDown bool) (used bool, unreachable []ident.Server) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tab := srvtab.NewTable(func() {})
		tab.Put(srvtab.Entry{ID: firstInstance, Service: service, Slots: 1})
		services := func(time.Time) []ident.Service {
			if !storeDown {
				return nil
			}
			return []ident.Service{service}
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second+Interval/2)
		defer cancel()
		var g errgroup.Group
		New(tab, e, services, noLoad, func(ids []ident.Server, _ time.Time) { unreachable = append(unreachable, ids...) }, &g, zap.NewNop()).Run(ctx)
		assert.NilError(t, g.Wait())
		used = len(tab.View().ServersOf(service)) == 1
	})
	return used, unreachable
}

func TestProber(t *testing.T) {
	for name, tc := range map[string]struct {
		engines     engines
		storeUp     bool
		used        bool
		unreachable bool
		probes      int
	}{
		"healthy":            {used: true, probes: 5},
		"draining":           {engines: engines{report: port.EngineReport{Draining: true}}, probes: 1},
		"restarted":          {engines: engines{report: port.EngineReport{StartedAt: time.UnixMilli(2000)}}, probes: 1},
		"same start time":    {engines: engines{report: port.EngineReport{StartedAt: time.UnixMilli(1000)}}, used: true, probes: 5},
		"connection refused": {engines: engines{err: &port.SendError{Unsent: true, Unreachable: true, Err: errors.New("refused")}}, used: true, unreachable: true, probes: 5},
		"link cut":           {engines: engines{err: &port.SendError{Unsent: true, Err: errors.New("refused")}}, used: true, probes: 5},
		"no response":        {engines: engines{after: time.Minute}, used: true, probes: 2},
		"store reachable":    {storeUp: true, engines: engines{report: port.EngineReport{Draining: true}}, used: true},
	} {
		t.Run(name, func(t *testing.T) {
			used, unreachable := probeForSecond(t, &tc.engines, !tc.storeUp)
			assert.Equal(t, used, tc.used)
			assert.Equal(t, len(unreachable) > 0, tc.unreachable)
			assert.Equal(t, tc.engines.probes, tc.probes)
		})
	}
}

// TestManyEngines has a VM probe thousands of engines: a bounded number per round, and
// all of them in turn.
func TestManyEngines(t *testing.T) {
	const engines = 3000
	tab := srvtab.NewTable(func() {})
	var list []srvtab.Entry
	for n := range engines {
		list = append(list, srvtab.Entry{ID: ident.NewServer(fmt.Sprint("e-", n), time.UnixMilli(1000)), Service: service, Slots: 1})
	}
	now := time.Now()
	tab.Replace(list, time.Time{}, now)
	p := New(tab, nil, func(time.Time) []ident.Service { return []ident.Service{service} }, noLoad, nil, nil, zap.NewNop())
	seen := make(map[ident.Server]bool)
	for range engines / maxPerRound {
		now = now.Add(Interval)
		round := p.due(now)
		assert.Assert(t, len(round) <= maxPerRound, "%d probes in a round", len(round))
		for _, s := range round {
			seen[s.ID] = true
			p.done(s.ID)
		}
	}
	assert.Equal(t, len(seen), engines)
}

// TestBusyEngines guards against calls that are lost because the drain of their engine is
// noticed late: the time between two probes of an engine grew with the number of engines.
// 150 engines have calls; with any number of others, each is probed in two rounds.
func TestBusyEngines(t *testing.T) {
	const busy = 2 * (maxPerRound - minIdlePerRound)
	for _, engines := range []int{3000, 12_000} {
		tab := srvtab.NewTable(func() {})
		var list []srvtab.Entry
		load := make(map[ident.Server]alloc.Load)
		for n := range engines {
			id := ident.NewServer(fmt.Sprint("e-", n), time.UnixMilli(1000))
			list = append(list, srvtab.Entry{ID: id, Service: service, Slots: 1})
			if n%(engines/busy) == 0 {
				load[id] = alloc.Load{Calls: 1}
			}
		}
		now := time.Now()
		tab.Replace(list, time.Time{}, now)
		p := New(tab, nil, func(time.Time) []ident.Service { return []ident.Service{service} }, func(id ident.Server) alloc.Load { return load[id] }, nil, nil, zap.NewNop())
		for range 10 {
			seen := make(map[ident.Server]bool)
			for range 2 {
				now = now.Add(Interval)
				for _, s := range p.due(now) {
					if load[s.ID].Calls > 0 {
						seen[s.ID] = true
					}
					p.done(s.ID)
				}
			}
			assert.Equal(t, len(seen), busy, "%d engines", engines)
		}
	}
}
