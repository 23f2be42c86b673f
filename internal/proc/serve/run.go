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
)

const (
	// leaveTime bounds the handing on of what this VM keeps for others.
	leaveTime = 5 * time.Second
	// A new VM is not ready until the others know it and it keeps what is its
	// to keep; but a store that is down must not keep it out for ever.
	joinLeast = 2 * time.Second
	joinMost  = 8 * time.Second
)

// listeners are the ports of a VM.
type listeners struct {
	callers, operators, peers net.Listener
}

func (v *VM) listen() (*listeners, error) {
	l := &listeners{}
	for _, p := range []struct {
		name string
		addr netip.AddrPort
		to   *net.Listener
	}{
		{"/callers-address", v.cfg.Callers, &l.callers},
		{"/operators-address", v.cfg.Operators, &l.operators},
		{"/peers-address", v.cfg.Peers, &l.peers},
	} {
		ln, err := net.Listen("tcp", p.addr.String())
		if err != nil {
			return nil, trace.Wrap(err, "%s", p.name)
		}
		*p.to = ln
	}
	return l, nil
}

// Run serves until stop is done or operators drain the VM, and then until
// every request has ended.
func (v *VM) Run(stop context.Context) error {
	defer v.cancel()
	l, err := v.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	v.start(l)
	v.log.Info("serving", zap.String("vm", string(v.cfg.Name)), zap.Stringer("callers", v.cfg.Callers))
	select {
	case <-stop.Done():
	case <-v.drain:
	case <-v.ctx.Done():
	}
	err = v.leave()
	v.cancel()
	if werr := v.group.Wait(); err == nil && !errors.Is(werr, context.Canceled) {
		err = werr
	}
	return trace.Wrap(err)
}

// start starts every loop of the VM in its group.
func (v *VM) start(l *listeners) {
	loops := []func() error{
		func() error { return v.fleet.Run(v.ctx) },
		func() error { return v.fleet.Receive(v.ctx) },
		func() error { return v.fleet.Follow(v.ctx) },
		func() error { return v.follower.Run(v.ctx) },
		func() error { return v.keeper.Run(v.ctx) },
		v.join,
		func() error { return v.loads.Run(v.ctx, v.group) },
		func() error { return v.home.Run(v.ctx) },
		func() error { return v.desk.Run(v.ctx) },
		func() error { return v.callers.Serve(l.callers) },
		func() error { return v.oper.Serve(v.ctx, l.operators) },
		func() error {
			return nodes.Serve(v.ctx, l.peers, v.ring, &v.traffic, nodes.NewServer(v.follower, v.keeper, v.home, v))
		},
	}
	for _, f := range loops {
		v.group.Go(f)
	}
}

// join makes the VM ready once it has its place among the others.
func (v *VM) join() error {
	start := time.Now()
	t := time.NewTicker(joinLeast / 10)
	defer t.Stop()
	for {
		select {
		case <-v.ctx.Done():
			return nil
		case <-t.C:
		}
		up := time.Since(start)
		if up >= joinMost || up >= joinLeast && v.keeper.Settled() {
			v.entry.Join()
			return nil
		}
	}
}

// leave takes the VM out of the balancer and of the others' view, hands on
// what it keeps for them, and waits until every request has ended, however
// long that takes.
func (v *VM) leave() error {
	v.log.Info("leaving")
	v.entry.Drain()
	v.fleet.Leave()
	ctx, cancel := context.WithTimeout(v.ctx, leaveTime)
	v.keeper.Leave(ctx)
	cancel()
	err := v.callers.Shutdown(v.ctx)
	v.entry.Ended()
	v.log.Info("left")
	return trace.Wrap(err)
}
