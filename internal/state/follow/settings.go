package follow

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
	"umberladder/internal/state/watch"
)

// settingsWait is how long the store holds a request for new settings. It bounds the
// time since the settings were last known to be current. A call that the settings refuse
// gets its final refusal only if that time is at most 1.3 s, and a revoked key must not
// be served after 5 s.
const settingsWait = 700 * time.Millisecond

// OperatorState is what operators have written to the store.
type OperatorState struct {
	Settings  *routes.Snapshot // nil: there are none yet
	Evacuated []ident.FailureDomain
}

// OperatorChanges are changes of the OperatorState.
type OperatorChanges struct {
	Settings *routes.Snapshot // nil: unchanged
	Domains  []DomainChange   // in the order in which they were made
}

// DomainChange is the start or the end of an evacuation.
type DomainChange struct {
	Domain    ident.FailureDomain
	Evacuated bool
}

// SettingsSource reads in the store what operators have written. Its calls have an idle
// timeout: they fail if the store sends nothing for some time, and continue while data
// arrives.
type SettingsSource interface {
	// Settings returns the operators' state and the revision after which to wait for
	// changes.
	Settings(ctx context.Context) (OperatorState, Revision, error)
	// AwaitSettings returns the changes after a revision, with the latest settings among
	// them, or none if there were none within wait, and the revision up to which no change
	// was missed.
	AwaitSettings(ctx context.Context, after Revision, wait time.Duration) (OperatorChanges, Revision, error)
	// Decode parses a settings document in the form in which operators write it.
	Decode(data []byte) (*routes.Snapshot, error)
}

// SettingsFollower keeps the settings in force, and the evacuated failure domains in the
// table of servers, up to date with the store.
type SettingsFollower struct {
	src             SettingsSource
	current         *routes.Current
	table           *srvtab.Table
	clock           uptime.Clock
	log             *zap.Logger
	receivesUpdates func() bool
	probes          func() bool
	onChange        func()
	reads           singleflight.Group
	rev             atomic.Uint64
	// storedVersion is the version in the store as of its last response.
	storedVersion atomic.Uint64
	// restoreGraceEnd is the time, by clock, until which a store restored from a backup
	// copy may lack settings that the operators have yet to write again.
	restoreGraceEnd atomic.Int64
	// rereadAfterGrace is set while the evacuations include some that a restored store
	// lacks.
	rereadAfterGrace atomic.Bool
}

// NewSettingsFollower returns a follower of the settings. It watches the store while
// receivesUpdates reports false, that is, while no updates come from other VMs. probes
// reports whether this VM must quickly detect that the store has recovered. The follower
// calls onChange when it has read newer settings or evacuations in the store.
func NewSettingsFollower(src SettingsSource, current *routes.Current, table *srvtab.Table, clock uptime.Clock, receivesUpdates, probes func() bool, onChange func(), log *zap.Logger) *SettingsFollower {
	return &SettingsFollower{src: src, current: current, table: table, clock: clock, receivesUpdates: receivesUpdates, probes: probes, onChange: onChange, log: log}
}

// HandleVersion processes another VM's report that a version was the latest at the given
// time. If the version is newer than the one in force, the settings are read. If it is
// the one in force, that one is recorded as the latest at that time.
func (s *SettingsFollower) HandleVersion(ctx context.Context, version uint64, at uptime.Instant) {
	snap := s.current.Load()
	switch {
	case snap == nil || version > snap.Version:
		if err := s.Refresh(ctx, watch.ReadTimeout); err != nil {
			s.log.Info("newer settings not read", zap.Uint64("version", version), zap.Error(err))
		}
	case version == snap.Version:
		s.current.ConfirmNewest(at)
	}
}

// ApplyCompressed puts a compressed document from another VM in force. The document was
// the latest at the given time.
func (s *SettingsFollower) ApplyCompressed(compressed []byte, at uptime.Instant) error {
	doc, data, err := routes.Decompress(compressed)
	if err != nil {
		return err
	}
	snap, err := s.src.Decode(data)
	if err != nil {
		return err
	}
	snap.Source = doc // not in force yet; it is forwarded in its compressed form
	s.apply(snap, at)
	return nil
}

// Run follows the settings until ctx is done.
func (s *SettingsFollower) Run(ctx context.Context) {
	w := watch.New(watch.Source[Revision]{
		Name:            "settings",
		WatchTimeout:    settingsWait,
		BatchDelay:      func() time.Duration { return 0 },
		CopyFromPeer:    func(context.Context) bool { return false }, // other VMs report newer versions
		PeersBusy:       func() bool { return false },
		Read:            func(ctx context.Context) (Revision, error) { return s.sharedRead(ctx, watch.ReadTimeout) },
		Watch:           s.awaitVersion,
		OnUnreachable:   func(time.Time) {},
		OnRecovered:     func(time.Time) {},
		Revision:        func() Revision { return Revision(s.rev.Load()) },
		Empty:           func() bool { return s.current.Load() == nil },
		ReceivesUpdates: s.receivesUpdates,
		ProbesStore:     s.probes,
	}, s.log)
	w.Run(ctx)
}

// ErrSlow is returned if a read takes longer than the caller's limit.
var ErrSlow = errors.New("follow: the settings are still being read")

// Refresh reads the settings now and waits up to limit for them. The read continues
// after the limit, and concurrent calls share it.
func (s *SettingsFollower) Refresh(ctx context.Context, limit time.Duration) error {
	_, err := s.sharedRead(ctx, limit)
	return err
}

// sharedRead waits for the read in progress, or starts one if there is none. A caller's
// limit does not cancel the read: when it did, each caller started the read over and
// none completed, because 0.8 MB of 1.1 MB arrived within the limit of 0.7 s.
func (s *SettingsFollower) sharedRead(ctx context.Context, limit time.Duration) (Revision, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, ErrSlow)
	defer cancel()
	result := s.reads.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), watch.ReadTimeout)
		defer cancel()
		return s.read(ctx)
	})
	select {
	case r := <-result:
		rev, _ := r.Val.(Revision) // zero if it failed
		return rev, r.Err
	case <-ctx.Done():
		return 0, context.Cause(ctx)
	}
}

func (s *SettingsFollower) read(ctx context.Context) (Revision, error) {
	requested := s.clock()
	state, rev, err := s.src.Settings(ctx)
	if err != nil {
		return 0, err
	}
	s.recordRevision(rev)
	s.applyEvacuated(s.withLostEvacuations(state.Evacuated, requested), rev)
	s.storedVersion.Store(0)
	if state.Settings != nil {
		s.applyStored(state.Settings, requested)
	}
	return rev, nil
}

// withLostEvacuations adds to the evacuated domains in the store those that a restored
// store may have lost and whose operators have yet to write them again. They count until
// the store is read after the grace period.
func (s *SettingsFollower) withLostEvacuations(domains []ident.FailureDomain, at uptime.Instant) []ident.FailureDomain {
	if s.isAuthoritative(at) {
		s.rereadAfterGrace.Store(false)
		return domains
	}
	s.rereadAfterGrace.Store(true)
	return append(slices.Clone(domains), s.table.Evacuations().Domains...)
}

// applyEvacuated puts the evacuated domains that the store held at a revision in force.
func (s *SettingsFollower) applyEvacuated(domains []ident.FailureDomain, rev Revision) {
	e := srvtab.NewEvacuations(uint64(rev), domains)
	if s.table.ApplyEvacuations(e) {
		s.log.Info("evacuations in force", zap.Any("failure-domains", e.Domains), zap.Uint64("revision", e.Rev))
		s.onChange()
	}
}

// applyDomainChanges applies changes that are complete up to a revision. The known
// evacuations may include some of them already.
func (s *SettingsFollower) applyDomainChanges(changes []DomainChange, rev Revision) {
	domains := slices.Clone(s.table.Evacuations().Domains)
	for _, c := range changes {
		domains = slices.DeleteFunc(domains, func(d ident.FailureDomain) bool { return d == c.Domain })
		if c.Evacuated {
			domains = append(domains, c.Domain)
		}
	}
	s.applyEvacuated(domains, rev)
}

// applyStored puts settings in force that the store held at the given time.
func (s *SettingsFollower) applyStored(snap *routes.Snapshot, at uptime.Instant) {
	s.storedVersion.Store(snap.Version)
	if !s.isAuthoritative(at) {
		at = 0 // newer settings may have been lost
	}
	if old := s.current.Load(); old == nil || old.Version < snap.Version {
		s.compress(snap)
	}
	if s.apply(snap, at) {
		s.onChange()
	}
}

// compress compresses the settings document before the new version is announced. Other VMs
// request it immediately, and their requests time out if compression starts only then.
func (s *SettingsFollower) compress(snap *routes.Snapshot) {
	if snap.Source == nil {
		return
	}
	if _, err := snap.Source.Compressed(); err != nil {
		s.log.Error("failed to compress settings", zap.Uint64("version", snap.Version), zap.Error(err))
	}
}

// recordRevision records the revision of a response from the store. A new era starts
// the grace period in which lost settings are written again.
func (s *SettingsFollower) recordRevision(rev Revision) {
	old := Revision(s.rev.Swap(uint64(rev)))
	if old != 0 && rev.Era() > old.Era() {
		s.restoreGraceEnd.Store(int64(s.clock().Add(srvtab.ReregisterTime)))
		s.log.Warn("store back from a copy", zap.Uint64("era", rev.Era()))
	}
}

// isAuthoritative reports whether the settings that the store held at the given time
// were the latest.
func (s *SettingsFollower) isAuthoritative(at uptime.Instant) bool {
	return int64(at) >= s.restoreGraceEnd.Load()
}

func (s *SettingsFollower) awaitVersion(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	requested := s.clock()
	changes, rev, err := s.src.AwaitSettings(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	s.recordRevision(rev)
	s.applyDomainChanges(changes.Domains, rev)
	if changes.Settings != nil {
		s.applyStored(changes.Settings, requested)
		return rev, nil
	}
	if s.rereadAfterGrace.Load() && s.isAuthoritative(requested) {
		s.rev.Store(0)
		return 0, nil
	}
	at := confirmedAt(s.clock, requested, wait)
	if now := s.current.Load(); now != nil && s.storedVersion.Load() >= now.Version && s.isAuthoritative(at) {
		s.current.ConfirmNewest(at)
	}
	return rev, nil
}

// confirmedAt returns the latest time at which a wait that ended without changes shows
// that nothing had changed. That is the end of the wait, or its start if the response
// came earlier.
func confirmedAt(clock uptime.Clock, requested uptime.Instant, wait time.Duration) uptime.Instant {
	if clock().Sub(requested) < wait {
		return requested
	}
	return requested.Add(wait)
}

// apply puts settings in force and reports whether they were not in force before.
func (s *SettingsFollower) apply(snap *routes.Snapshot, at uptime.Instant) bool {
	if !s.current.Update(snap, at) {
		return false
	}
	s.log.Info("settings in force", zap.Uint64("version", snap.Version))
	if len(snap.Unread) > 0 {
		s.log.Warn("members of the settings are not read", zap.Uint64("version", snap.Version), zap.Strings("members", snap.Unread))
	}
	return true
}
