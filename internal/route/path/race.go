package path

import (
	"context"
	"net"
	"time"

	"umberladder/internal/core/ident"
)

// way is one way to connect to a server.
type way struct {
	via  ident.VM      // empty: over this VM's own links
	wait time.Duration // after the start of the previous way; shorter if one fails meanwhile
	dial func(ctx context.Context) (net.Conn, error)
}

// result is the outcome of one way.
type result struct {
	index int
	conn  net.Conn
	err   error
}

// group starts goroutines.
type group interface {
	Go(f func() error)
}

// race tries several ways to connect. It is used by one goroutine.
type race struct {
	ways    []way
	group   group
	done    func(way, error) // called with the outcome of each way; it may be called concurrently
	results chan result
	started int
	pending int
	errs    []error // by way; nil: it has not failed
	conns   []bool  // by way: it has connected
}

func newRace(ways []way, g group, done func(way, error)) *race {
	return &race{ways: ways, group: g, done: done, results: make(chan result, len(ways)), errs: make([]error, len(ways)), conns: make([]bool, len(ways))}
}

// run returns the first connection and the index of its way, or no connection once all ways
// have failed or ctx has ended. Ways that are still pending are left to end on their own, so
// that their outcomes are known; their connections are closed.
func (r *race) run(ctx context.Context) (net.Conn, int) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer r.abandon()
	for {
		select {
		case <-timer.C:
		case res := <-r.results:
			r.add(res)
			if res.err == nil {
				r.closeOthers()
				return res.conn, res.index
			}
		case <-ctx.Done():
			return nil, -1
		}
		if r.started < len(r.ways) {
			r.start(ctx)
			if r.started < len(r.ways) {
				timer.Reset(r.ways[r.started].wait)
			}
		} else if r.pending == 0 {
			return nil, -1
		}
	}
}

// add records the outcome of a way.
func (r *race) add(res result) {
	r.pending--
	r.errs[res.index], r.conns[res.index] = res.err, res.err == nil
}

// closeOthers closes connections that were opened at the same time as the first one.
func (r *race) closeOthers() {
	for {
		select {
		case res := <-r.results:
			r.add(res)
			if res.err == nil {
				_ = res.conn.Close()
			}
		default:
			return
		}
	}
}

// start starts the next way.
func (r *race) start(ctx context.Context) {
	index, w := r.started, r.ways[r.started]
	r.started++
	r.pending++
	// A way that loses the race ends on its own.
	ctx = context.WithoutCancel(ctx)
	r.group.Go(func() error {
		conn, err := w.dial(ctx)
		r.done(w, err)
		r.results <- result{index: index, conn: conn, err: err}
		return nil
	})
}

// abandon closes the connections of the ways that are still pending.
func (r *race) abandon() {
	if n := r.pending; n > 0 {
		r.group.Go(func() error {
			for range n {
				if res := <-r.results; res.err == nil {
					_ = res.conn.Close()
				}
			}
			return nil
		})
	}
}
