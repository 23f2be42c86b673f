package probe

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/port"
	"umberladder/internal/route/task"
	"umberladder/internal/state/srvtab"
)

const (
	// Interval is the time between two probes of an engine. It is short because an
	// engine's notice is short and its report is half a second old.
	Interval = 200 * time.Millisecond
	// reportTimeout bounds one probe. An engine that takes longer is probed again
	// rather than waited for.
	reportTimeout = 500 * time.Millisecond
	// maxPerRound is the maximum number of probes per round, so that the VM keeps its
	// link and file descriptors for calls. Engines that have calls go first, since calls
	// are lost if their drain is noticed late. Among equals, those probed longest ago are
	// probed first.
	maxPerRound = 100
	// minIdlePerRound of them are probes of engines without calls, if there are any.
	minIdlePerRound = 25
)

// Reporter reads the reports of engines.
type Reporter interface {
	Report(ctx context.Context, s *srvtab.Server) (port.EngineReport, error)
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Prober probes the engines of services.
type Prober struct {
	table       *srvtab.Table
	engines     Reporter
	services    func(now time.Time) []ident.Service
	load        func(ident.Server) alloc.Load
	unreachable func(ids []ident.Server, now time.Time)
	group       Group
	log         *zap.Logger

	mu         sync.Mutex
	inFlight   map[ident.Server]struct{}  // engines with a probe in flight
	lastProbed map[ident.Server]time.Time // when engines were last probed
}

// New returns a Prober. services returns the services whose engines are to be
// probed at a given time, and load the load of an engine; unreachable is called with
// engines that refuse connections.
func New(table *srvtab.Table, engines Reporter, services func(now time.Time) []ident.Service, load func(ident.Server) alloc.Load,
	unreachable func(ids []ident.Server, now time.Time), group Group, log *zap.Logger,
) *Prober {
	return &Prober{
		table: table, engines: engines, services: services, load: load, unreachable: unreachable, group: group, log: log,
		inFlight: make(map[ident.Server]struct{}), lastProbed: make(map[ident.Server]time.Time),
	}
}

// Run probes the engines until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			p.round(ctx, now)
		}
	}
}

// round probes the engines that are due.
func (p *Prober) round(ctx context.Context, now time.Time) {
	for _, s := range p.due(now) {
		p.group.Go(func() error {
			defer p.done(s.ID)
			p.probe(ctx, s)
			return nil
		})
	}
}

// due returns the engines to probe now, and records that they are probed.
func (p *Prober) due(now time.Time) []*srvtab.Server {
	var list []*srvtab.Server
	view := p.table.View()
	for _, name := range p.services(now) {
		list = append(list, view.ServersOf(name)...)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list = slices.DeleteFunc(list, func(s *srvtab.Server) bool {
		_, pending := p.inFlight[s.ID]
		return pending
	})
	slices.SortStableFunc(list, func(a, b *srvtab.Server) int { return p.lastProbed[a.ID].Compare(p.lastProbed[b.ID]) })
	list = p.choose(list)
	for _, s := range list {
		p.inFlight[s.ID], p.lastProbed[s.ID] = struct{}{}, now
	}
	for id := range p.lastProbed {
		if view.Server(id) == nil {
			delete(p.lastProbed, id)
		}
	}
	return list
}

// choose returns the engines to probe in a round, from a list in the order of their last
// probes.
func (p *Prober) choose(list []*srvtab.Server) []*srvtab.Server {
	if len(list) <= maxPerRound {
		return list
	}
	var busy, idle []*srvtab.Server
	for _, s := range list {
		if p.load(s.ID).Calls > 0 {
			busy = append(busy, s)
		} else {
			idle = append(idle, s)
		}
	}
	n := max(maxPerRound-len(busy), min(minIdlePerRound, len(idle)))
	return append(idle[:n], busy[:min(len(busy), maxPerRound-n)]...)
}

func (p *Prober) done(id ident.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, id)
}

// probe reads the report of one engine. A missing response proves nothing:
// possibly only the network path to this VM is broken.
func (p *Prober) probe(ctx context.Context, s *srvtab.Server) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := p.engines.Report(ctx, s)
	switch {
	case task.IsUnreachable(err):
		p.unreachable([]ident.Server{s.ID}, time.Now())
	case err != nil:
		p.log.Debug("engine report not read", zap.String("server", string(s.ID)), zap.Error(err))
	case restarted(s, r):
		if p.table.MarkReplaced(s.ID) {
			p.log.Info("server gone", zap.String("server", string(s.ID)), zap.String("reason", "it was restarted"))
		}
	case r.Draining:
		if p.table.MarkDraining(s.ID, time.Now()) {
			p.log.Info("server drains", zap.String("server", string(s.ID)), zap.String("reported-by", "itself"),
				zap.Duration("left", r.Remaining))
		}
	}
}

// restarted reports whether the engine has been restarted under its name.
func restarted(s *srvtab.Server, r port.EngineReport) bool {
	startTime := s.ID.StartTime()
	return !startTime.IsZero() && !r.StartedAt.IsZero() && !r.StartedAt.Equal(startTime)
}
