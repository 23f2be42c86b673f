package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/awake"
	"umberladder/internal/state/backs"
)

const (
	// serversWait is how long a wait for changes of servers is held.
	serversWait = 2 * time.Second
	// serversRest gathers the servers' heartbeats: at 16 servers with one each
	// 1.2 s it cuts the calls of a VM from 13 to 5 a second. It is the longest
	// time by which a leaving mark is seen later.
	serversRest = 120 * time.Millisecond
	// expireEvery is how often lapsed entries are looked through.
	expireEvery = 100 * time.Millisecond
)

// Change is one change of the servers' entries.
type Change struct {
	Entry backs.Entry // only the ID if Gone
	Gone  bool
}

// ServerSource reads the servers' entries in the store.
type ServerSource interface {
	Servers(ctx context.Context) ([]backs.Entry, Revision, error)
	// AwaitServers returns the changes after a revision, none if none came
	// within wait.
	AwaitServers(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Servers keeps a table of servers in step with the store.
type Servers struct {
	src   ServerSource
	table *backs.Table
	clock awake.Clock
	log   *zap.Logger

	mu    sync.Mutex
	down  bool
	until time.Time // entries missing before then may have lapsed in an outage
}

// NewServers makes a follower of the servers.
func NewServers(src ServerSource, table *backs.Table, clock awake.Clock, log *zap.Logger) *Servers {
	return &Servers{src: src, table: table, clock: clock, log: log}
}

// Run follows the servers until ctx ends.
func (s *Servers) Run(ctx context.Context) {
	l := &loop{clock: s.clock, log: s.log, src: source{
		name:  "servers",
		wait:  serversWait,
		rest:  serversRest,
		read:  s.read,
		await: s.await,
		lost:  s.lost,
		back:  s.back,
	}}
	l.run(ctx)
}

// Expire drops servers whose entries lapsed in an outage, until ctx ends.
func (s *Servers) Expire(ctx context.Context) {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, id := range s.table.Expire(now) {
				s.log.Info("server gone", zap.String("server", string(id)), zap.String("reason", "its entry did not come back after an outage of the store"))
			}
		}
	}
}

func (s *Servers) lost(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

func (s *Servers) back(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.until = now.Add(backs.ReturnTime)
}

// grace returns the moment until which a missing entry says nothing.
func (s *Servers) grace(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return now.Add(backs.ReturnTime)
	}
	return s.until
}

func (s *Servers) read(ctx context.Context, _ awake.Instant) (Revision, error) {
	list, rev, err := s.src.Servers(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	s.table.Replace(list, s.grace(now), now)
	s.log.Info("servers read", zap.Int("servers", len(list)), zap.Uint64("revision", uint64(rev)))
	return rev, nil
}

func (s *Servers) await(ctx context.Context, after Revision, wait time.Duration, _ awake.Instant) (Revision, error) {
	changes, rev, err := s.src.AwaitServers(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	for _, c := range changes {
		s.take(c)
	}
	return rev, nil
}

func (s *Servers) take(c Change) {
	id := zap.String("server", string(c.Entry.ID))
	if c.Gone {
		now := time.Now()
		known := s.table.View().Server(c.Entry.ID) != nil
		s.table.Remove(c.Entry.ID, s.grace(now), now)
		if known {
			s.log.Info("server entry removed", id)
		}
		return
	}
	if s.table.Put(c.Entry) {
		s.log.Info("server changed", id, zap.String("service", string(c.Entry.Service)),
			zap.Stringer("address", c.Entry.Addr), zap.Bool("leaving", c.Entry.Leaving))
	}
}
