package soak

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/internal/fake/netcut"
)

// Mode says how a proxy treats its connections.
type Mode int32

// The modes of a proxy.
const (
	Pass      Mode = iota
	Delay          // bytes are delayed
	Blackhole      // no bytes are forwarded, but connections stay open
	OneWay         // requests are forwarded, responses are not
	Reset          // connections are reset
	numModes
)

func (m Mode) String() string {
	return [...]string{"pass", "delay", "silent", "one-way", "reset"}[m]
}

// addedDelay is the delay of each read in mode Delay.
const addedDelay = 150 * time.Millisecond

// Proxy is a TCP proxy that injects network faults between its clients and one
// target.
type Proxy struct {
	*netcut.Listener
	target string
	mode   atomic.Int32
	group  errgroup.Group
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
}

// NewProxy starts a proxy to the target address.
func NewProxy(target string) (*Proxy, error) {
	ln, err := netcut.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Listener: ln, target: target, conns: make(map[net.Conn]struct{})}
	p.group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil //nolint:nilerr // the proxy was closed
			}
			p.group.Go(func() error {
				p.serve(c)
				return nil
			})
		}
	})
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.Listener.Addr().String() }

// SetMode changes the mode, also for open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mode.Store(int32(m))
	if m == Reset {
		p.closeAll()
	}
}

// Close closes the listener and all connections, and waits for them to end.
func (p *Proxy) Close() {
	_ = p.Listener.Close()
	p.closeAll()
	_ = p.group.Wait()
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a TCP connection with a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	p.track(c, true)
	defer p.track(c, false)
	defer func() { _ = c.Close() }()
	if Mode(p.mode.Load()) == Reset {
		resetConn(c)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(ctx, func() {
		_ = c.Close()
		_ = server.Close()
	})
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		_ = p.forward(server, c, false)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		if err := p.forward(c, server, true); !errors.Is(err, io.EOF) {
			resetConn(c)
		}
		return nil
	})
	_ = g.Wait()
}

// forward copies bytes in one direction as the mode says; response marks the
// direction from the target to the client. It returns io.EOF if from ended regularly.
func (p *Proxy) forward(to io.Writer, from io.Reader, response bool) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for blocked := true; blocked; {
			switch m := Mode(p.mode.Load()); {
			case m == Blackhole || m == OneWay && response:
				time.Sleep(20 * time.Millisecond)
			case m == Delay:
				time.Sleep(addedDelay)
				blocked = false
			default:
				blocked = false
			}
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return cmp.Or(werr, err)
		}
	}
}
