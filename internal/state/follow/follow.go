package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/policy/retry"
)

const (
	// readLimit bounds a read as a whole, so that none goes on for ever. What ends
	// one that makes no progress is the source's limit on silence: how long a read
	// takes depends on how much there is to read, and on the VM's link. The largest
	// page of the store needs 6.7 s at 10 Mbit/s.
	readLimit = 15 * time.Second
	// firstPause and lastPause are the bounds of the pause between failed reads.
	// The last one keeps the return of a store within a third of the 2 s in which
	// a change has to be in force.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
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

// source is the part of the store that a loop follows.
type source struct {
	name string
	wait time.Duration // how long the store holds a wait without changes
	// rest returns the pause after a change, so that several come in one answer.
	rest func() time.Duration
	// adopt takes everything from another VM; false if that is not possible.
	adopt func(ctx context.Context) bool
	// read takes everything.
	read func(ctx context.Context) (Revision, error)
	// await takes the changes after a revision.
	await func(ctx context.Context, after Revision, wait time.Duration) (Revision, error)
	lost  func(now time.Time)
	back  func(now time.Time)
	// known returns the revision up to which everything is known; zero: all has
	// to be read.
	known func() Revision
	// empty reports whether nothing is known that this VM could go on with while it
	// is told.
	empty func() bool
	// told reports whether other VMs tell what changes, so that the store need
	// not be asked.
	told func() bool
	// first reports whether this VM is to find out soon that the store is back.
	first func() bool
}

// loop follows a source until ctx ends.
type loop struct {
	src  source
	log  *zap.Logger
	down bool
	// lacking is since when nothing is known; zero: something is.
	lacking time.Time
}

func (l *loop) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if l.leave(ctx) {
			pause := toldPause
			if l.src.empty() {
				pause = lackPause
			}
			retry.Pause(ctx, pause)
			continue
		}
		if l.src.known() == 0 && l.src.adopt(ctx) {
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
func (l *loop) leave(ctx context.Context) bool {
	if !l.src.empty() {
		l.lacking = time.Time{}
		return l.src.told()
	}
	now := time.Now()
	if l.lacking.IsZero() {
		l.lacking = now
	}
	if !l.src.told() || now.Sub(l.lacking) > startTime {
		return false
	}
	l.src.adopt(ctx)
	return true
}

// errGap says that changes were told of which some are missing.
var errGap = errors.New("follow: some changes were not told")

// rest pauses after failed read n. What others tell ends it.
func (l *loop) rest(ctx context.Context, n int) {
	d := min(firstPause<<min(n, 8), lastPause)
	if n > 0 && !l.src.first() {
		d = slowPause + rand.N(slowPause)
	}
	for end := time.Now().Add(d); ctx.Err() == nil && time.Now().Before(end); {
		if l.src.told() {
			return
		}
		retry.Pause(ctx, min(toldPause, time.Until(end)))
	}
}

func (l *loop) read(ctx context.Context) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	return l.src.read(ctx)
}

// follow waits for changes until something fails.
func (l *loop) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.src.empty() {
			return errGap
		}
		if l.src.told() {
			retry.Pause(ctx, toldPause)
			continue
		}
		rev := l.src.known()
		if rev == 0 {
			return errGap
		}
		next, err := l.await(ctx, rev)
		if err != nil {
			return err
		}
		if next != rev {
			retry.Pause(ctx, l.src.rest())
		}
	}
	return ctx.Err()
}

func (l *loop) await(ctx context.Context, rev Revision) (Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, l.src.wait+readLimit)
	defer cancel()
	return l.src.await(ctx, rev, l.src.wait)
}

// failed notes a failure; the first of several in a row is a dependency lost.
func (l *loop) failed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil || err == nil {
		return
	}
	l.src.lost(time.Now())
	if l.down {
		return
	}
	l.down = true
	l.log.Warn("store lost", zap.String("source", l.src.name), zap.String("call", call), zap.Error(err))
}

func (l *loop) recovered() {
	if !l.down {
		return
	}
	l.down = false
	l.src.back(time.Now())
	l.log.Info("store back", zap.String("source", l.src.name))
}
