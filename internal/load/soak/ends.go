package soak

import (
	"context"

	"umberladder/platform/fake"
)

// partialEvents are starts of an event, as engines may send them before they break off.
var partialEvents = []string{"i", "id: 7", "id: 70\n", "id: 70\nda", "id: 70\r\ndata: x\r\n", ": comm"}

// useCloseDelimited makes a server send its responses without a length or chunks for a time.
func (r *run) useCloseDelimited(ctx context.Context) {
	if b := r.pickServer(); b != nil {
		b.server.SetCloseDelimited(true)
		r.undoLater(ctx, func() { b.server.SetCloseDelimited(false) })
	}
}

// breakStreams makes an engine break off its streams inside an event for a time, and end them
// regularly. Plain responses are not broken off, as VMs could not detect that.
func (r *run) breakStreams(ctx context.Context) {
	b := r.pickServer()
	if b == nil || b.server.Service != fake.EngineService {
		return
	}
	b.server.SetBreak(fake.Break{Event: 1 + r.rng.IntN(fake.StreamEvents), Sent: partialEvents[r.rng.IntN(len(partialEvents))], End: fake.RegularEnd})
	r.undoLater(ctx, func() { b.server.SetBreak(fake.Break{}) })
}

// endServer ends a server's process in the middle of its responses: its listener and its
// connections are closed like those of a process that ends.
func (r *run) endServer(ctx context.Context) {
	b := r.pickServer()
	if b == nil || !r.addReplacement(ctx, b) {
		return
	}
	sent := ""
	if r.rng.IntN(2) == 0 {
		sent = partialEvents[r.rng.IntN(len(partialEvents))]
	}
	b.server.SetBreak(fake.Break{Event: 1 + r.rng.IntN(fake.StreamEvents), Sent: sent, End: fake.ClosedEnd, OnBreak: func() { _ = b.proxy.Listener.Close() }})
	_ = b.proxy.Listener.Close()
	b.server.Crash()
	r.mu.Lock()
	b.dead = true
	r.mu.Unlock()
	r.group.Go(func() error {
		r.sleep(ctx, expiryTime)
		r.removeServer(b)
		return nil
	})
}
