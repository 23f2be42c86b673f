package rig2

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// holdInterval is how often held connections check whether the cut has ended.
const holdInterval = 10 * time.Millisecond

// Gate carries all that one VM and the other VMs, and the store, say to each other, so that the VM
// can be cut off. The VM knows the others by addresses of the gate, and they know the VM by one.
type Gate struct {
	cut     atomic.Bool
	vm      string   // the VM's own address for other VMs
	outside string   // the gate's address that stands for the VM
	others  []string // the other VMs' addresses
	inside  []string // the gate's addresses that stand for them
	store   string   // the gate's address that stands for the store
	sockets []net.PacketConn
	toVM    *strings.Replacer
	fromVM  *strings.Replacer
}

// Cut cuts the VM off, or ends the cut. Nothing passes in a cut; connections stay open.
func (g *Gate) Cut(on bool) { g.cut.Store(on) }

// listenBoth listens on one loopback address for TCP and UDP.
func listenBoth() (net.Listener, net.PacketConn, error) {
	for range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		if u, err := net.ListenPacket("udp4", ln.Addr().String()); err == nil {
			return ln, u, nil
		}
		_ = ln.Close()
	}
	return nil, nil, fmt.Errorf("no port is free for TCP and UDP")
}

// newGate starts the gate of the VM at an address. It ends with ctx.
func newGate(ctx context.Context, vm string, others []string, store string) (*Gate, error) {
	g := &Gate{vm: vm, others: others}
	ln, u, err := listenBoth()
	if err != nil {
		return nil, err
	}
	g.outside, g.sockets = ln.Addr().String(), []net.PacketConn{u}
	g.serveTCP(ctx, ln, vm)
	for _, o := range others {
		ln, u, err := listenBoth()
		if err != nil {
			return nil, err
		}
		g.inside, g.sockets = append(g.inside, ln.Addr().String()), append(g.sockets, u)
		g.serveTCP(ctx, ln, o)
	}
	g.buildReplacers()
	for n := range g.sockets {
		Go(func() { g.forwardUDP(n) })
	}
	context.AfterFunc(ctx, func() {
		for _, u := range g.sockets {
			_ = u.Close()
		}
	})
	return g, g.serveStore(ctx, store)
}

// buildReplacers makes the replacers of addresses, as they are and in base64.
func (g *Gate) buildReplacers() {
	var in, out []string
	add := func(list *[]string, from, to string) {
		b64 := base64.StdEncoding.EncodeToString
		*list = append(*list, from, to, b64([]byte(from)), b64([]byte(to)))
	}
	add(&in, g.outside, g.vm)
	add(&out, g.vm, g.outside)
	for n := range g.others {
		add(&in, g.others[n], g.inside[n])
		add(&out, g.inside[n], g.others[n])
	}
	g.toVM, g.fromVM = strings.NewReplacer(in...), strings.NewReplacer(out...)
}

// forwardUDP forwards what arrives at a socket: 0 is the VM's, the others are those of the other VMs.
func (g *Gate) forwardUDP(n int) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := g.sockets[n].ReadFrom(buf)
		if err != nil {
			return
		}
		if g.cut.Load() {
			continue
		}
		text := string(buf[:size])
		if n > 0 {
			g.sendUDP(g.sockets[0], g.others[n-1], g.fromVM.Replace(text))
			continue
		}
		for i, o := range g.others {
			if from.String() == o {
				g.sendUDP(g.sockets[i+1], g.vm, g.toVM.Replace(text))
			}
		}
	}
}

func (g *Gate) sendUDP(u net.PacketConn, to, text string) {
	if addr, err := net.ResolveUDPAddr("udp4", to); err == nil {
		_, _ = u.WriteTo([]byte(text), addr)
	}
}

// hold waits until there is no cut.
func (g *Gate) hold() {
	for g.cut.Load() {
		time.Sleep(holdInterval)
	}
}

func (g *Gate) serveTCP(ctx context.Context, ln net.Listener, to string) {
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			Go(func() { g.carry(c, to) })
		}
	})
}

// carry forwards the bytes of one connection.
func (g *Gate) carry(c net.Conn, to string) {
	defer func() { _ = c.Close() }()
	g.hold()
	server, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	ended := make(chan struct{}, 2)
	forward := func(w io.Writer, r io.Reader) {
		defer func() { ended <- struct{}{} }()
		buf := make([]byte, 16<<10)
		for {
			n, err := r.Read(buf)
			g.hold()
			if _, werr := w.Write(buf[:n]); err != nil || werr != nil {
				return
			}
		}
	}
	Go(func() { forward(server, c) })
	Go(func() { forward(c, server) })
	<-ended
}

// serveStore forwards the VM's calls to the store.
func (g *Gate) serveStore(ctx context.Context, store string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.store = ln.Addr().String()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.hold()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+store+r.URL.RequestURI(), bytes.NewReader([]byte(g.fromVM.Replace(string(body)))))
		if err != nil {
			return
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = resp.Body.Close() }()
		answer, err := io.ReadAll(resp.Body)
		if err != nil || g.cut.Load() {
			g.hold()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", resp.Header.Get("Store-Era"))
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write([]byte(g.toVM.Replace(string(answer))))
	})
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	Go(func() { _ = srv.Serve(ln) })
	return nil
}
