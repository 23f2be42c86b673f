package serve

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/peer/nodes"
	"umberladder/internal/peer/socket"
)

const (
	// handoverTimeout bounds the handover of this VM's shards of idempotency
	// keys to other VMs at shutdown.
	handoverTimeout = 5 * time.Second
	// A new VM becomes ready once the other VMs know it and it holds the shards
	// assigned to it, after minJoinTime at the earliest. After maxJoinTime it
	// becomes ready regardless, because an unavailable store must not keep it
	// out of service indefinitely.
	minJoinTime = 2 * time.Second
	// receiveBuffer bounds, in bytes, what the kernel holds of each connection that was not read.
	receiveBuffer = 16 << 10
	maxJoinTime   = 8 * time.Second
)

// listeners holds the TCP listeners of a VM.
type listeners struct {
	clients, operators, peers net.Listener
}

func (v *VM) listen() (*listeners, error) {
	l := &listeners{}
	for _, p := range []struct {
		name string
		addr netip.AddrPort
		to   *net.Listener
	}{
		{"/callers-address", v.cfg.Clients, &l.clients},
		{"/operators-address", v.cfg.Operators, &l.operators},
		{"/peers-address", v.cfg.Peers, &l.peers},
	} {
		ln, err := socket.Listen(v.ctx, p.addr, receiveBuffer)
		if err != nil {
			return nil, trace.Wrap(err, "%s", p.name)
		}
		*p.to = socket.New(ln, v.bounds.Held.ReclaimDescriptor, v.log)
	}
	return l, nil
}

// Run serves until stop is done or an operator drains the VM, and then waits
// until every request has ended.
func (v *VM) Run(stop context.Context) error {
	defer v.cancel()
	l, err := v.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	v.start(l)
	v.log.Info("serving", zap.String("vm", string(v.cfg.Name)), zap.Stringer("callers", v.cfg.Clients))
	select {
	case <-stop.Done():
	case <-v.drainRequested:
	case <-v.ctx.Done():
	}
	err = v.shutDown()
	v.cancel()
	if werr := v.group.Wait(); err == nil && !errors.Is(werr, context.Canceled) {
		err = werr
	}
	return trace.Wrap(err)
}

// start starts the VM's background loops and servers in its goroutine group.
func (v *VM) start(l *listeners) {
	loops := []func() error{
		func() error { return v.fleet.Run(v.ctx) },
		func() error { return v.fleet.Receive(v.ctx) },
		func() error { return v.fleet.PollList(v.ctx) },
		func() error { return v.follower.Run(v.ctx) },
		func() error { return v.shards.Run(v.ctx) },
		v.join,
		func() error {
			v.bounds.Run(v.ctx)
			return nil
		},
		func() error { return v.poller.Run(v.ctx, v.group) },
		func() error { return v.coordinator.Run(v.ctx) },
		func() error { return v.placementClient.Run(v.ctx) },
		func() error { return v.clientServer.Serve(l.clients) },
		func() error { return v.operatorServer.Serve(v.ctx, l.operators) },
		func() error {
			return nodes.Serve(v.ctx, l.peers, v.keyRing, &v.traffic, nodes.NewServer(v.follower, v.shards, v.coordinator, v))
		},
	}
	for _, f := range loops {
		v.group.Go(f)
	}
}

// join marks the VM ready once it holds the shards assigned to it, or after
// maxJoinTime.
func (v *VM) join() error {
	start := time.Now()
	t := time.NewTicker(minJoinTime / 10)
	defer t.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return nil
		case <-t.C:
		}
		up := time.Since(start)
		if up >= maxJoinTime || up >= minJoinTime && v.shards.Ready() {
			v.handler.MarkReady()
			return nil
		}
	}
}

// shutDown makes the readiness check fail, announces the departure to the other
// VMs, hands over this VM's shards, and waits without a time limit until every
// request has ended.
func (v *VM) shutDown() error {
	v.log.Info("leaving")
	v.handler.Drain()
	v.fleet.Leave()
	ctx, cancel := context.WithTimeout(v.ctx, handoverTimeout)
	v.shards.HandOverAll(ctx)
	cancel()
	err := v.clientServer.Shutdown(v.ctx)
	v.handler.AssertIdle()
	v.log.Info("shutdown complete")
	return trace.Wrap(err)
}
