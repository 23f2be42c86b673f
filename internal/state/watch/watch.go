package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/policy/retry"
)

const (
	// ReadTimeout bounds a read as a whole, so that none lasts forever. A read that
	// makes no progress is ended sooner by the source's idle timeout. The duration of
	// a read depends on the amount of data and on the VM's link.
	ReadTimeout = 15 * time.Second
	// minBackoff is the shortest pause between failed reads, and the pause after a failed
	// wait for changes.
	minBackoff = 50 * time.Millisecond
	// MaxBackoff is the longest pause between failed reads. It keeps the time until a
	// recovered store is found within a third of the 2 s in which a change must be in
	// force.
	MaxBackoff = 400 * time.Millisecond
	// standbyBackoff is the shortest pause between failed reads, except after the first, of
	// VMs for which Source.ProbesStore is false. Others find out that the store has
	// recovered.
	standbyBackoff = 1500 * time.Millisecond
	// checkInterval is how often a VM that receives updates from peers checks whether
	// it still does.
	checkInterval = 100 * time.Millisecond
	// emptyCheckInterval replaces checkInterval while nothing is known.
	emptyCheckInterval = 20 * time.Millisecond
	// peerTimeout is how long a VM that receives updates from peers, but knows nothing
	// yet, waits for its peers before it reads the store itself. While they have the data
	// and are busy sending it to other VMs, it waits up to ReadTimeout. The time until all
	// VMs have the data grows with its size and the logarithm of their number.
	peerTimeout = 3 * time.Second
)

// Source is the part of the store that is watched. R is the type of the revisions of its
// changes; the zero revision means that there is none.
type Source[R comparable] struct {
	Name         string
	WatchTimeout time.Duration // how long the store holds a watch open if there are no changes
	// BatchDelay returns how long to wait after a change, so that the next response
	// contains several changes.
	BatchDelay func() time.Duration
	// CopyFromPeer copies everything from another VM and reports whether it succeeded.
	CopyFromPeer func(ctx context.Context) bool
	// PeersBusy reports whether the last CopyFromPeer failed because the VMs that have the
	// data were busy sending it.
	PeersBusy func() bool
	// Read reads everything from the store and returns its revision.
	Read func(ctx context.Context) (R, error)
	// Watch waits for changes after a revision, applies them, and returns the new
	// revision.
	Watch func(ctx context.Context, after R, wait time.Duration) (R, error)
	// OnUnreachable is called after each failed call to the store.
	OnUnreachable func(now time.Time)
	// OnRecovered is called after the first successful read after a failure.
	OnRecovered func(now time.Time)
	// Revision returns the revision up to which everything is known, or zero if
	// everything has to be read.
	Revision func() R
	// Empty reports whether this VM lacks data that it needs before it can rely on
	// updates from peers alone.
	Empty func() bool
	// ReceivesUpdates reports whether this VM receives updates from peers and need not
	// watch the store.
	ReceivesUpdates func() bool
	// ProbesStore reports whether this VM has to find out soon that the store has
	// recovered.
	ProbesStore func() bool
}

// Watcher watches a source.
type Watcher[R comparable] struct {
	src  Source[R]
	log  *zap.Logger
	down bool
	// emptySince is when the source was first found to be empty; zero if it is not.
	emptySince time.Time
}

// New returns a Watcher of a source.
func New[R comparable](src Source[R], log *zap.Logger) *Watcher[R] {
	return &Watcher[R]{src: src, log: log}
}

// Run watches the source until ctx is done.
func (w *Watcher[R]) Run(ctx context.Context) {
	var none R
	for rounds := 0; ctx.Err() == nil; rounds++ {
		if w.deferToPeers(ctx) {
			pause := checkInterval
			if w.src.Empty() {
				pause = emptyCheckInterval
			}
			retry.Sleep(ctx, pause)
			continue
		}
		if w.src.Revision() == none && w.src.CopyFromPeer(ctx) {
			continue
		}
		_, err := w.read(ctx)
		if err != nil {
			w.recordFailure(ctx, "read", err)
			w.backOff(ctx, rounds)
			continue
		}
		rounds, w.emptySince = 0, time.Time{}
		w.recordRecovery()
		err = w.watch(ctx)
		if !errors.Is(err, errIncomplete) {
			w.recordFailure(ctx, "wait", err)
			retry.Sleep(ctx, minBackoff)
		}
	}
}

// deferToPeers reports whether this VM does not call the store because it receives
// updates from peers. If it knows nothing yet, it copies everything from a peer.
func (w *Watcher[R]) deferToPeers(ctx context.Context) bool {
	if !w.src.Empty() {
		w.emptySince = time.Time{}
		return w.src.ReceivesUpdates()
	}
	now := time.Now()
	if w.emptySince.IsZero() {
		w.emptySince = now
	}
	limit := peerTimeout
	if w.src.PeersBusy() {
		limit = ReadTimeout
	}
	if !w.src.ReceivesUpdates() || now.Sub(w.emptySince) > limit {
		return false
	}
	w.src.CopyFromPeer(ctx)
	return true
}

// errIncomplete is returned if some changes were not received from peers, so that
// everything has to be copied or read anew.
var errIncomplete = errors.New("watch: some changes were not received from other VMs")

// backOff waits after a failed read. rounds is the number of rounds of Run since the last
// successful read. The wait ends early once this VM receives updates from peers.
func (w *Watcher[R]) backOff(ctx context.Context, rounds int) {
	d := min(minBackoff<<min(rounds, 8), MaxBackoff)
	if rounds > 0 && !w.src.ProbesStore() {
		d = standbyBackoff + rand.N(standbyBackoff)
	}
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); {
		if w.src.ReceivesUpdates() {
			return
		}
		retry.Sleep(ctx, min(checkInterval, time.Until(end)))
	}
}

func (w *Watcher[R]) read(ctx context.Context) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	return w.src.Read(ctx)
}

// watch waits for changes until a call fails, or until everything has to be read or copied
// anew, in which case it returns errIncomplete.
func (w *Watcher[R]) watch(ctx context.Context) error {
	var none R
	for ctx.Err() == nil {
		if w.src.ReceivesUpdates() {
			if w.src.Empty() {
				return errIncomplete
			}
			retry.Sleep(ctx, checkInterval)
			continue
		}
		rev := w.src.Revision()
		if rev == none {
			return errIncomplete
		}
		next, err := w.await(ctx, rev)
		if err != nil {
			return err
		}
		if next != rev {
			retry.Sleep(ctx, w.src.BatchDelay())
		}
	}
	return ctx.Err()
}

func (w *Watcher[R]) await(ctx context.Context, rev R) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, w.src.WatchTimeout+ReadTimeout)
	defer cancel()
	return w.src.Watch(ctx, rev, w.src.WatchTimeout)
}

// recordFailure records a failed call to the store and logs the first of several in a row.
func (w *Watcher[R]) recordFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil || err == nil {
		return
	}
	w.src.OnUnreachable(time.Now())
	if w.down {
		return
	}
	w.down = true
	w.log.Warn("store lost", zap.String("source", w.src.Name), zap.String("call", call), zap.Error(err))
}

func (w *Watcher[R]) recordRecovery() {
	if !w.down {
		return
	}
	w.down = false
	w.src.OnRecovered(time.Now())
	w.log.Info("store back", zap.String("source", w.src.Name))
}
