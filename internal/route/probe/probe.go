package probe

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/port"
	"umberladder/internal/route/task"
	"umberladder/internal/state/backs"
)

const (
	// Every is the time between two questions to an engine: its notice is short, and
	// its word is half a second old.
	Every = 200 * time.Millisecond
	// limit bounds one question. An engine that is silent for longer is asked again
	// rather than waited for.
	limit = 500 * time.Millisecond
	// most is how many questions a round asks: among thousands of engines, those that
	// were asked longest ago, so that the VM has its link and descriptors for calls.
	most = 100
)

// Engines answers for engines what they say of themselves.
type Engines interface {
	Report(ctx context.Context, s *backs.Server) (port.Report, error)
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Prober asks the engines of services.
type Prober struct {
	table    *backs.Table
	engines  Engines
	services func(now time.Time) []ident.Service
	dead     func(ids []ident.Server, now time.Time)
	group    Group
	log      *zap.Logger

	mu    sync.Mutex
	asked map[ident.Server]struct{}  // a question is under way
	last  map[ident.Server]time.Time // when engines were last asked
}

// New makes a prober of the services that are to be asked at a moment. It calls
// dead with engines that can't be connected to.
func New(table *backs.Table, engines Engines, services func(now time.Time) []ident.Service,
	dead func(ids []ident.Server, now time.Time), group Group, log *zap.Logger,
) *Prober {
	return &Prober{
		table: table, engines: engines, services: services, dead: dead, group: group, log: log,
		asked: make(map[ident.Server]struct{}), last: make(map[ident.Server]time.Time),
	}
}

// Run asks until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	t := time.NewTicker(Every)
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

// round asks engines that do not owe an answer.
func (p *Prober) round(ctx context.Context, now time.Time) {
	for _, s := range p.due(now) {
		p.group.Go(func() error {
			defer p.end(s.ID)
			p.ask(ctx, s)
			return nil
		})
	}
}

// due returns the engines to be asked now, and notes that they are.
func (p *Prober) due(now time.Time) []*backs.Server {
	var list []*backs.Server
	view := p.table.View()
	for _, name := range p.services(now) {
		list = append(list, view.Service(name)...)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list = slices.DeleteFunc(list, func(s *backs.Server) bool {
		_, owes := p.asked[s.ID]
		return owes
	})
	slices.SortStableFunc(list, func(a, b *backs.Server) int { return p.last[a.ID].Compare(p.last[b.ID]) })
	list = list[:min(len(list), most)]
	for _, s := range list {
		p.asked[s.ID], p.last[s.ID] = struct{}{}, now
	}
	for id := range p.last {
		if view.Server(id) == nil {
			delete(p.last, id)
		}
	}
	return list
}

func (p *Prober) end(id ident.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asked, id)
}

// ask asks one engine. Silence says nothing: it may be the way to this VM alone
// that is cut.
func (p *Prober) ask(ctx context.Context, s *backs.Server) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := p.engines.Report(ctx, s)
	switch {
	case task.IsUnsent(err):
		p.dead([]ident.Server{s.ID}, time.Now())
	case err != nil:
		p.log.Debug("engine did not tell of itself", zap.String("server", string(s.ID)), zap.Error(err))
	case restarted(s, r):
		if p.table.Left(s.ID) {
			p.log.Info("server gone", zap.String("server", string(s.ID)), zap.String("reason", "it has started again"))
		}
	case r.Leaving:
		if p.table.Drain(s.ID, time.Now()) {
			p.log.Info("server drains", zap.String("server", string(s.ID)), zap.String("reported-by", "itself"),
				zap.Duration("left", r.Left))
		}
	}
}

// restarted reports whether the engine has started anew under its name.
func restarted(s *backs.Server, r port.Report) bool {
	born := s.ID.Born()
	return !born.IsZero() && !r.Born.IsZero() && !r.Born.Equal(born)
}
