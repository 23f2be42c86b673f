package loop

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/policy/retry"
)

const (
	// ReadLimit bounds a read as a whole, so that none goes on for ever. What ends
	// one that makes no progress is the source's limit on silence: how long a read
	// takes depends on how much there is to read, and on the VM's link.
	ReadLimit = 15 * time.Second
	// firstPause is the pause after the first failed read.
	firstPause = 50 * time.Millisecond
	// LastPause is the longest pause between failed reads. It keeps the return of a
	// store within a third of the 2 s in which a change has to be in force.
	LastPause = 400 * time.Millisecond
	// slowPause is the least pause of VMs that leave it to the first ones to find
	// out that the store is back.
	slowPause = 1500 * time.Millisecond
	// toldPause is how often a VM that is told of changes looks whether it still is.
	toldPause = 100 * time.Millisecond
	// lackPause is the same for a VM that knows nothing yet.
	lackPause = 20 * time.Millisecond
	// startTime is how long a VM that is told, and knows nothing yet, waits for other
	// VMs before it reads the store itself.
	startTime = 3 * time.Second
)

// Source is the part of the store that a loop follows, with revisions of its changes;
// the zero revision stands for none.
type Source[R comparable] struct {
	Name string
	Wait time.Duration // how long the store holds a wait without changes
	// Rest returns the pause after a change, so that several come in one answer.
	Rest func() time.Duration
	// Adopt takes everything from another VM; false if that is not possible.
	Adopt func(ctx context.Context) bool
	// Read takes everything.
	Read func(ctx context.Context) (R, error)
	// Await takes the changes after a revision.
	Await func(ctx context.Context, after R, wait time.Duration) (R, error)
	Lost  func(now time.Time)
	Back  func(now time.Time)
	// Known returns the revision up to which everything is known; zero: all has
	// to be read.
	Known func() R
	// Empty reports whether nothing is known that this VM could go on with while it
	// is told.
	Empty func() bool
	// Told reports whether other VMs tell what changes, so that the store need
	// not be asked.
	Told func() bool
	// First reports whether this VM is to find out soon that the store is back.
	First func() bool
}

// Loop follows a source.
type Loop[R comparable] struct {
	src  Source[R]
	log  *zap.Logger
	down bool
	// lacking is since when nothing is known; zero: something is.
	lacking time.Time
}

// New makes a loop over a source.
func New[R comparable](src Source[R], log *zap.Logger) *Loop[R] {
	return &Loop[R]{src: src, log: log}
}

// Run follows the source until ctx ends.
func (l *Loop[R]) Run(ctx context.Context) {
	var none R
	for n := 0; ctx.Err() == nil; n++ {
		if l.leave(ctx) {
			pause := toldPause
			if l.src.Empty() {
				pause = lackPause
			}
			retry.Pause(ctx, pause)
			continue
		}
		if l.src.Known() == none && l.src.Adopt(ctx) {
			continue
		}
		_, err := l.read(ctx)
		if err != nil {
			l.failed(ctx, "read", err)
			l.rest(ctx, n)
			continue
		}
		n = 0
		l.recovered()
		err = l.follow(ctx)
		if !errors.Is(err, errGap) {
			l.failed(ctx, "wait", err)
			retry.Pause(ctx, firstPause)
		}
	}
}

// leave reports whether this VM leaves it to others to ask the store. What it lacks
// it takes from them.
func (l *Loop[R]) leave(ctx context.Context) bool {
	if !l.src.Empty() {
		l.lacking = time.Time{}
		return l.src.Told()
	}
	now := time.Now()
	if l.lacking.IsZero() {
		l.lacking = now
	}
	if !l.src.Told() || now.Sub(l.lacking) > startTime {
		return false
	}
	l.src.Adopt(ctx)
	return true
}

// errGap says that changes were told of which some are missing.
var errGap = errors.New("loop: some changes were not told")

// rest pauses after failed read n. What others tell ends it.
func (l *Loop[R]) rest(ctx context.Context, n int) {
	d := min(firstPause<<min(n, 8), LastPause)
	if n > 0 && !l.src.First() {
		d = slowPause + rand.N(slowPause)
	}
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); {
		if l.src.Told() {
			return
		}
		retry.Pause(ctx, min(toldPause, time.Until(end)))
	}
}

func (l *Loop[R]) read(ctx context.Context) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, ReadLimit)
	defer cancel()
	return l.src.Read(ctx)
}

// follow waits for changes until something fails.
func (l *Loop[R]) follow(ctx context.Context) error {
	var none R
	for ctx.Err() == nil {
		if l.src.Told() {
			if l.src.Empty() {
				return errGap
			}
			retry.Pause(ctx, toldPause)
			continue
		}
		rev := l.src.Known()
		if rev == none {
			return errGap
		}
		next, err := l.await(ctx, rev)
		if err != nil {
			return err
		}
		if next != rev {
			retry.Pause(ctx, l.src.Rest())
		}
	}
	return ctx.Err()
}

func (l *Loop[R]) await(ctx context.Context, rev R) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, l.src.Wait+ReadLimit)
	defer cancel()
	return l.src.Await(ctx, rev, l.src.Wait)
}

// failed notes a failure; the first of several in a row is a dependency lost.
func (l *Loop[R]) failed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil || err == nil {
		return
	}
	l.src.Lost(time.Now())
	if l.down {
		return
	}
	l.down = true
	l.log.Warn("store lost", zap.String("source", l.src.Name), zap.String("call", call), zap.Error(err))
}

func (l *Loop[R]) recovered() {
	if !l.down {
		return
	}
	l.down = false
	l.src.Back(time.Now())
	l.log.Info("store back", zap.String("source", l.src.Name))
}
