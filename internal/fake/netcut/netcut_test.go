package netcut_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/fake/netcut"
)

const testTimeout = 300 * time.Millisecond

// dial connects to ln from a host.
func dial(ln net.Listener, host netip.Addr) (net.Conn, error) {
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(host, 0)), Timeout: testTimeout}
	return d.Dial("tcp", ln.Addr().String())
}

// echoes reports whether a byte comes back on a connection.
func echoes(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestModes checks which connections pass data in each mode, during the cut and after it.
func TestModes(t *testing.T) {
	cutHost, other := netip.MustParseAddr("127.77.1.1"), netip.MustParseAddr("127.77.1.2")
	for mode, tc := range map[netcut.Mode]struct{ open, opened, openAfter bool }{
		netcut.Hang:     {openAfter: true},
		netcut.OneWay:   {openAfter: true},
		netcut.Reset:    {},
		netcut.NewHang:  {open: true, openAfter: true},
		netcut.NewReset: {open: true, openAfter: true},
	} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			ln, err := netcut.Listen("127.0.0.1:0")
			assert.NilError(t, err)
			var g errgroup.Group
			g.Go(func() error { return serveEcho(ln, &g) })
			t.Cleanup(func() {
				_ = ln.Close()
				_ = g.Wait()
			})
			open, err := dial(ln, cutHost)
			assert.NilError(t, err)
			defer func() { _ = open.Close() }()
			assert.Assert(t, echoes(open))

			assert.NilError(t, ln.Cut(mode, []netip.Addr{cutHost}))
			assert.Equal(t, echoes(open), tc.open, "an open connection")
			assert.Equal(t, dialAndEcho(ln, cutHost), tc.opened, "a new connection")
			assert.Assert(t, dialAndEcho(ln, other), "another host's connection")

			assert.NilError(t, ln.Heal())
			assert.Assert(t, dialAndEcho(ln, cutHost), "a connection after the cut")
			assert.Equal(t, eventually(open), tc.openAfter, "the open connection after the cut")
		})
	}
}

func serveEcho(ln net.Listener, g *errgroup.Group) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener was closed
		}
		g.Go(func() error {
			_, _ = io.Copy(c, c)
			return c.Close()
		})
	}
}

func dialAndEcho(ln net.Listener, host netip.Addr) bool {
	c, err := dial(ln, host)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	return echoes(c)
}

// eventually reports whether a byte comes back on a connection within the time of a few
// retransmissions.
func eventually(c net.Conn) bool {
	for range 10 {
		if echoes(c) {
			return true
		}
	}
	return false
}
