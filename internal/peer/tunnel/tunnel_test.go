package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/tunnel"
	"umberladder/internal/policy/hold"
	"umberladder/internal/state/srvtab"
)

// dialer dials addresses and, as a tunnel.Connector, servers. It fails with err if that is
// not nil.
type dialer struct{ err error }

func (d dialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if d.err != nil {
		return nil, d.err
	}
	var nd net.Dialer
	return nd.DialContext(ctx, "tcp", addr.String())
}

func (d dialer) ConnectDirect(ctx context.Context, s *srvtab.Server) (net.Conn, error) {
	return d.Dial(ctx, s.Addr)
}

const serverID = "s"

// serve accepts connections to a new listener until the test ends.
func serve(t *testing.T, f func(net.Listener)) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		f(ln)
		return nil
	})
	t.Cleanup(func() {
		_ = ln.Close()
		_ = g.Wait()
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// open opens a tunnel to a server that handles its only connection with handle.
func open(t *testing.T, direct tunnel.Connector, state func(*srvtab.Table), handle func(*net.TCPConn)) (*tunnel.Server, net.Conn, error) {
	t.Helper()
	serverAddr := serve(t, func(ln net.Listener) {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		handle(c.(*net.TCPConn))
		_ = c.Close()
	})
	table := srvtab.NewTable(func() {})
	table.Put(srvtab.Entry{ID: serverID, Service: "x", Addr: serverAddr, Slots: 1})
	if state != nil {
		state(table)
	}
	server := tunnel.NewServer(table, direct, hold.NewPool(hold.Limits{Memory: 32 << 20}), zap.NewNop())
	via := serve(t, func(ln net.Listener) {
		srv := &fasthttp.Server{Handler: server.Handle, DisableKeepalive: true, ReadTimeout: time.Second}
		_ = srv.Serve(ln)
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := tunnel.NewClient(dialer{}).Connect(ctx, via, serverID, true)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return server, conn, err
}

// assertClosed fails the test unless all tunnels end within a second.
func assertClosed(t *testing.T, s *tunnel.Server) {
	t.Helper()
	for end := time.Now().Add(time.Second); s.Open() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.Open(), 0, "open tunnels")
}

// TestResponseEnds guards against responses that look complete although the server's
// connection broke, and against tunnels that outlive it.
func TestResponseEnds(t *testing.T) {
	body := strings.Repeat("0123456789", 2000)
	for name, tc := range map[string]struct {
		reset bool
		want  error
	}{
		"closed": {},
		"reset":  {reset: true, want: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			server, conn, err := open(t, dialer{}, nil, func(c *net.TCPConn) {
				_, _ = io.ReadFull(c, make([]byte, 4))
				_, _ = io.WriteString(c, body)
				<-read
				if tc.reset {
					_ = c.SetLinger(0)
				}
			})
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "ping")
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			got := make([]byte, len(body))
			_, err = io.ReadFull(conn, got)
			assert.NilError(t, err)
			assert.Equal(t, string(got), body)
			close(read)
			_, err = io.ReadAll(conn)
			assert.ErrorIs(t, err, tc.want)
			assertClosed(t, server)
		})
	}
}

// TestClientCloses guards against servers that keep working after the client has left.
func TestClientCloses(t *testing.T) {
	closed := make(chan error, 1)
	server, conn, err := open(t, dialer{}, nil, func(c *net.TCPConn) {
		_, err := c.Read(make([]byte, 1))
		closed <- err
	})
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	select {
	case err := <-closed:
		assert.ErrorIs(t, err, io.EOF)
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server's connection is still open")
	}
	assertClosed(t, server)
}

// TestDrain checks that a VM that shuts down opens no tunnels, and keeps the open ones.
func TestDrain(t *testing.T) {
	server, conn, err := open(t, dialer{}, nil, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	assert.NilError(t, err)
	server.Drain()
	var declined fasthttp.RequestCtx
	server.Handle(&declined)
	assert.Equal(t, declined.Response.StatusCode(), fasthttp.StatusServiceUnavailable)
	_, err = io.WriteString(conn, "ping")
	assert.NilError(t, err)
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "ping")
	assert.Equal(t, server.Open(), 1)
}

// TestDeclined checks that a VM says why it opens no tunnel, and that it connects to nothing
// but the servers that it knows.
func TestDeclined(t *testing.T) {
	for name, tc := range map[string]struct {
		direct error
		state  func(*srvtab.Table)
		want   error
	}{
		"refused":           {direct: tunnel.ErrRefused, want: tunnel.ErrRefused},
		"unreachable":       {direct: tunnel.ErrUnreachable, want: tunnel.ErrUnreachable},
		"cut off":           {direct: tunnel.ErrCutOff, want: tunnel.ErrCutOff},
		"another failure":   {direct: errors.New("x"), want: tunnel.ErrCutOff},
		"a draining server": {state: func(t *srvtab.Table) { t.MarkDraining(serverID, time.Now()) }, want: tunnel.ErrNotAccepting},
		"an unknown server": {state: func(t *srvtab.Table) { t.Remove(serverID, time.Time{}, time.Now()) }, want: tunnel.ErrUnknownServer},
		"an evacuated domain": {state: func(t *srvtab.Table) {
			t.Put(srvtab.Entry{ID: serverID, Service: "x", Domain: "d", Slots: 1})
			t.ApplyEvacuations(srvtab.NewEvacuations(1, []ident.FailureDomain{"d"}))
		}, want: tunnel.ErrNotAccepting},
	} {
		t.Run(name, func(t *testing.T) {
			server, _, err := open(t, dialer{err: tc.direct}, tc.state, func(*net.TCPConn) {})
			assert.ErrorIs(t, err, tc.want)
			assert.Equal(t, server.Open(), 0)
		})
	}
}

// TestNoTunnel guards against bytes that are no tunnel and are taken for one: what arrives over it
// would be taken for the bytes of a server.
func TestNoTunnel(t *testing.T) {
	for name, text := range map[string]string{
		"a word and a number":  "job 200 done\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no chunks":            "HTTP/1.1 200 OK\r\n\r\n",
		"a blank in a name":    "HTTP/1.1 200 OK\r\nX Note: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"a blank after chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
		"status 000":           "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"a length":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			via := serve(t, func(ln net.Listener) {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := tunnel.NewClient(dialer{}).Connect(ctx, via, serverID, true)
			assert.Assert(t, err != nil && !tunnel.BlamesServer(err), "%v", err)
		})
	}
}
