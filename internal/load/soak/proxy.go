package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Mode is what a proxy does to its connections.
type Mode int32

// The modes.
const (
	Pass   Mode = iota
	Delay       // bytes come later
	Silent      // nothing passes, nothing is closed
	OneWay      // answers are lost
	Reset       // connections are reset
	modes
)

func (m Mode) String() string {
	return [...]string{"pass", "delay", "silent", "one-way", "reset"}[m]
}

// delayTime is how much later bytes come in the mode Delay.
const delayTime = 150 * time.Millisecond

// Proxy stands before one peer.
type Proxy struct {
	ln    net.Listener
	to    string
	mode  atomic.Int32
	group errgroup.Group
	mu    sync.Mutex
	open  map[net.Conn]struct{}
}

// NewProxy starts a proxy to an address.
func NewProxy(to string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, to: to, open: make(map[net.Conn]struct{})}
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

// Addr returns where the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Set changes what the proxy does, to open connections too.
func (p *Proxy) Set(m Mode) {
	p.mode.Store(int32(m))
	if m == Reset {
		p.closeAll()
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.closeAll()
	_ = p.group.Wait()
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.open[c] = struct{}{}
	} else {
		delete(p.open, c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	p.track(c, true)
	defer p.track(c, false)
	defer func() { _ = c.Close() }()
	if Mode(p.mode.Load()) == Reset {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	p.track(up, true)
	defer p.track(up, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(ctx, func() {
		_ = c.Close()
		_ = up.Close()
	})
	var g errgroup.Group
	g.Go(func() error {
		defer cancel()
		p.copy(up, c, false)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		p.copy(c, up, true)
		return nil
	})
	_ = g.Wait()
}

// copy passes bytes on as the mode says; back is the way of the answers.
func (p *Proxy) copy(to io.Writer, from io.Reader, back bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for held := true; held; {
			switch m := Mode(p.mode.Load()); {
			case m == Silent || m == OneWay && back:
				time.Sleep(20 * time.Millisecond)
			case m == Delay:
				time.Sleep(delayTime)
				held = false
			default:
				held = false
			}
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}
