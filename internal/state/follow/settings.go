package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"umberladder/internal/core/awake"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/loop"
	"umberladder/internal/state/routes"
)

// settingsWait is how long a wait for new settings is held. It bounds the age
// of the knowledge that the settings are the newest: calls that they refuse are
// refused for good up to 1.3 s, and a revoked key must not be served after 5 s.
const settingsWait = 700 * time.Millisecond

// SettingsSource reads the settings in the store. Its calls fail once the store
// has been silent for a while, and go on for as long as bytes come.
type SettingsSource interface {
	// Settings returns the settings and a revision after which changes are to be
	// awaited; nil if there are none yet.
	Settings(ctx context.Context) (*routes.Snapshot, Revision, error)
	// AwaitSettings returns the newest settings after a revision, or nil if none
	// came within wait, and the revision up to which nothing was missed.
	AwaitSettings(ctx context.Context, after Revision, wait time.Duration) (*routes.Snapshot, Revision, error)
	// Decode reads a document as the operators wrote it.
	Decode(data []byte) (*routes.Snapshot, error)
}

// Settings keeps a book of settings in step with the store.
type Settings struct {
	src   SettingsSource
	book  *routes.Book
	clock awake.Clock
	log   *zap.Logger
	told  func() bool
	first func() bool
	news  func()
	once  singleflight.Group
	rev   atomic.Uint64
	// stored is the version that the store held when it last answered.
	stored atomic.Uint64
	// calm is an awake.Instant until which the store, back from a copy, may lack
	// settings that the operators write again.
	calm atomic.Int64
}

// NewSettings makes a follower of the settings. It asks the store while told
// reports that other VMs do not tell what changes, and first that this VM is to
// find out soon that the store is back. It calls news once it has read newer
// settings in the store.
func NewSettings(src SettingsSource, book *routes.Book, clock awake.Clock, told, first func() bool, news func(), log *zap.Logger) *Settings {
	return &Settings{src: src, book: book, clock: clock, told: told, first: first, news: news, log: log}
}

// Learn takes another VM's word that a version was the newest at a moment. A
// newer version than the one in force is read.
func (s *Settings) Learn(ctx context.Context, version uint64, at awake.Instant) {
	snap := s.book.Load()
	switch {
	case snap == nil || version > snap.Version:
		if err := s.Refresh(ctx, loop.ReadLimit); err != nil {
			s.log.Info("newer settings not read", zap.Uint64("version", version), zap.Error(err))
		}
	case version == snap.Version:
		s.book.Confirm(at)
	}
}

// Adopt puts a document in force that another VM has read, in its compressed form,
// and that was the newest at a moment.
func (s *Settings) Adopt(packed []byte, at awake.Instant) error {
	doc, data, err := routes.Unpack(packed)
	if err != nil {
		return err
	}
	snap, err := s.src.Decode(data)
	if err != nil {
		return err
	}
	snap.Source = doc // not in force yet; compressed, it is passed on as it is
	s.put(snap, at)
	return nil
}

// Run follows the settings until ctx ends.
func (s *Settings) Run(ctx context.Context) {
	l := loop.New(loop.Source[Revision]{
		Name:  "settings",
		Wait:  settingsWait,
		Rest:  func() time.Duration { return 0 },
		Adopt: func(context.Context) bool { return false }, // newer versions are told of
		Read:  func(ctx context.Context) (Revision, error) { return s.shared(ctx, loop.ReadLimit) },
		Await: s.await,
		Lost:  func(time.Time) {},
		Back:  func(time.Time) {},
		Known: func() Revision { return Revision(s.rev.Load()) },
		Empty: func() bool { return s.book.Load() == nil },
		Told:  s.told,
		First: s.first,
	}, s.log)
	l.Run(ctx)
}

// ErrSlow says that a reading takes longer than was to be waited for.
var ErrSlow = errors.New("follow: the settings are still being read")

// Refresh reads the settings now and waits up to limit for them. The reading goes
// on after that, and all calls at the same time share it.
func (s *Settings) Refresh(ctx context.Context, limit time.Duration) error {
	_, err := s.shared(ctx, limit)
	return err
}

// shared waits for the one reading that is under way; it begins it if there is
// none. A reading that each caller cut off at its own limit was begun anew for
// ever: of 1.1 MB, 0.8 came in the 0.7 s that it was given.
func (s *Settings) shared(ctx context.Context, limit time.Duration) (Revision, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, ErrSlow)
	defer cancel()
	reading := s.once.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loop.ReadLimit)
		defer cancel()
		return s.read(ctx)
	})
	select {
	case r := <-reading:
		rev, _ := r.Val.(Revision) // zero if it failed
		return rev, r.Err
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

func (s *Settings) read(ctx context.Context) (Revision, error) {
	sent := s.clock()
	snap, rev, err := s.src.Settings(ctx)
	if err != nil {
		return 0, err
	}
	s.answered(rev)
	s.stored.Store(0)
	if snap != nil {
		s.takeStored(snap, sent)
	}
	return rev, nil
}

// takeStored puts settings in force that the store held at a moment.
func (s *Settings) takeStored(snap *routes.Snapshot, at awake.Instant) {
	s.stored.Store(snap.Version)
	if !s.isCalm(at) {
		at = 0 // newer ones may have been lost
	}
	if old := s.book.Load(); old == nil || old.Version < snap.Version {
		s.pack(snap)
	}
	if s.put(snap, at) {
		s.news()
	}
}

// pack compresses the settings document before the new version is announced. Other VMs
// request it immediately, and their requests time out if compression starts only then.
func (s *Settings) pack(snap *routes.Snapshot) {
	if snap.Source == nil {
		return
	}
	if _, err := snap.Source.Packed(); err != nil {
		s.log.Error("failed to compress settings", zap.Uint64("version", snap.Version), zap.Error(err))
	}
}

// answered notes the revision of an answer.
func (s *Settings) answered(rev Revision) {
	old := Revision(s.rev.Swap(uint64(rev)))
	if old != 0 && rev.Era() > old.Era() {
		s.calm.Store(int64(s.clock().Add(backs.ReturnTime)))
		s.log.Warn("store back from a copy", zap.Uint64("era", rev.Era()))
	}
}

// isCalm reports whether the settings that the store held at a moment were the newest.
func (s *Settings) isCalm(at awake.Instant) bool { return int64(at) >= s.calm.Load() }

func (s *Settings) await(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	sent := s.clock()
	snap, rev, err := s.src.AwaitSettings(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	s.answered(rev)
	if snap != nil {
		s.takeStored(snap, sent)
		return rev, nil
	}
	at := confirmed(s.clock, sent, wait)
	if now := s.book.Load(); now != nil && s.stored.Load() >= now.Version && s.isCalm(at) {
		s.book.Confirm(at)
	}
	return rev, nil
}

// confirmed returns the moment at which a wait that brought nothing shows that
// nothing had changed: the store held it for the whole wait, unless the answer
// came sooner.
func confirmed(clock awake.Clock, sent awake.Instant, wait time.Duration) awake.Instant {
	if clock().Sub(sent) < wait {
		return sent
	}
	return sent.Add(wait)
}

// put reports whether the settings are in force now and were not before.
func (s *Settings) put(snap *routes.Snapshot, at awake.Instant) bool {
	if !s.book.Put(snap, at) {
		return false
	}
	s.log.Info("settings in force", zap.Uint64("version", snap.Version))
	return true
}
