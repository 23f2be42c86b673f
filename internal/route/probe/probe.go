package probe

import (
	"context"
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
	asked map[ident.Server]struct{} // a question is under way
}

// New makes a prober of the services that are to be asked at a moment. It calls
// dead with engines that can't be connected to.
func New(table *backs.Table, engines Engines, services func(now time.Time) []ident.Service,
	dead func(ids []ident.Server, now time.Time), group Group, log *zap.Logger,
) *Prober {
	return &Prober{
		table: table, engines: engines, services: services, dead: dead, group: group, log: log,
		asked: make(map[ident.Server]struct{}),
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

// round asks all engines that do not owe an answer.
func (p *Prober) round(ctx context.Context, now time.Time) {
	for _, name := range p.services(now) {
		for _, s := range p.table.View().Service(name) {
			if !p.begin(s.ID) {
				continue
			}
			p.group.Go(func() error {
				defer p.end(s.ID)
				p.ask(ctx, s)
				return nil
			})
		}
	}
}

func (p *Prober) begin(id ident.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.asked[id]; ok {
		return false
	}
	p.asked[id] = struct{}{}
	return true
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
	case r.Leaving || restarted(s, r):
		if p.table.Left(s.ID) {
			p.log.Info("server leaves", zap.String("server", string(s.ID)), zap.String("told-by", "itself"),
				zap.Duration("left", r.Left), zap.Bool("restarted", restarted(s, r)))
		}
	}
}

// restarted reports whether the engine has started anew under its name.
func restarted(s *backs.Server, r port.Report) bool {
	born := s.ID.Born()
	return !born.IsZero() && !r.Born.IsZero() && !r.Born.Equal(born)
}
