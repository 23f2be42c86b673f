package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/hold"
	"umberladder/internal/state/srvtab"
)

const (
	// bufferSize is the size of the buffer of each direction of a tunnel, in bytes.
	bufferSize = 4096
	// maxTunnels is the maximum number of tunnels that a VM carries. Each takes two descriptors
	// and tunnelBytes, which the VM's own clients need as well.
	maxTunnels  = 500
	tunnelBytes = 25 << 10
	// connectTimeout bounds a connection to a server. A handshake takes a few milliseconds.
	connectTimeout = 200 * time.Millisecond
	// stallTimeout is how long one end of a tunnel may accept no data. It is longer than
	// any client waits for a response.
	stallTimeout = 45 * time.Second
)

// Connector connects to servers over this VM's own links. Its errors are those of this
// package, or say nothing about the server.
type Connector interface {
	ConnectDirect(ctx context.Context, s *srvtab.Server) (net.Conn, error)
}

// Server carries the tunnels of other VMs. It is safe for concurrent use.
type Server struct {
	servers *srvtab.Table
	direct  Connector
	held    *hold.Pool
	log     *zap.Logger
	open    atomic.Int64
	drained atomic.Bool
	buffers sync.Pool
}

// NewServer returns a Server for the servers in a table. What tunnels take is part of the pool.
func NewServer(servers *srvtab.Table, direct Connector, held *hold.Pool, log *zap.Logger) *Server {
	return &Server{servers: servers, direct: direct, held: held, log: log, buffers: sync.Pool{New: func() any { return new([bufferSize]byte) }}}
}

// Open returns the number of tunnels that are open.
func (s *Server) Open() int { return int(s.open.Load()) }

// Drain makes the server decline new tunnels, because the VM is shutting down.
func (s *Server) Drain() { s.drained.Store(true) }

// Handle handles a request for a tunnel.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	id := ident.Server(ctx.Request.Header.Peek(headerServer))
	newWork := len(ctx.Request.Header.Peek(headerNewWork)) > 0
	if s.open.Add(1) > maxTunnels || s.drained.Load() {
		s.decline(ctx, ErrBusy)
		return
	}
	release, err := s.hold()
	if err != nil {
		s.decline(ctx, ErrBusy)
		return
	}
	nc, err := s.connect(id, newWork)
	if err != nil {
		release()
		s.log.Debug("tunnel declined", zap.String("server", string(id)), zap.Stringer("from", ctx.RemoteAddr()), zap.Error(err))
		s.decline(ctx, err)
		return
	}
	peer := ctx.Conn() // the hijacked connection's Close does nothing
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		defer s.open.Add(-1)
		defer release()
		s.carry(peer, nc)
	})
}

// hold takes what a tunnel needs besides its connection to the server, and returns a function that
// gives it back.
func (s *Server) hold() (release func(), err error) {
	if err := s.held.OpenOther(); err != nil {
		return nil, err
	}
	a := s.held.Account()
	if err := a.Hold(hold.Connections, tunnelBytes); err != nil {
		s.held.CloseOther()
		return nil, err
	}
	return func() {
		a.Close()
		s.held.CloseOther()
	}, nil
}

func (s *Server) decline(ctx *fasthttp.RequestCtx, err error) {
	s.open.Add(-1)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(headerReason, reasonOf(err))
}

// connect connects to a server if this VM knows it.
func (s *Server) connect(id ident.Server, newWork bool) (net.Conn, error) {
	view := s.servers.View()
	server := view.Server(id)
	switch {
	case server == nil:
		return nil, ErrUnknownServer
	case newWork && !view.Accepts(id):
		return nil, ErrNotAccepting
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	return s.direct.ConnectDirect(ctx, server)
}

// responseHeader is the start of the response with which a tunnel begins.
const responseHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// carry copies bytes between a VM and a server until either closes its connection.
func (s *Server) carry(peer, server net.Conn) {
	defer func() { _ = server.Close() }()
	if _, err := io.WriteString(peer, responseHeader); err != nil {
		return
	}
	var toServer errgroup.Group
	toServer.Go(func() error {
		// The VM closes its connection once it does not need the response. The
		// server then has to end the call.
		err := s.copy(deadlineWriter{server}, peer)
		_ = server.Close()
		return err
	})
	w := bufio.NewWriterSize(deadlineWriter{peer}, bufferSize)
	chunks := httputil.NewChunkedWriter(w)
	err := s.copy(flusher{chunks, w}, server)
	if err == nil {
		err = errors.Join(chunks.Close(), w.Flush())
	}
	_ = peer.Close()
	if err = errors.Join(err, toServer.Wait()); err != nil {
		s.log.Debug("tunnel ended early", zap.Error(err))
	}
}

// copy copies bytes until r ends. Its error is nil if r ended normally.
func (s *Server) copy(w io.Writer, r io.Reader) error {
	buf := s.buffers.Get().(*[bufferSize]byte)
	defer s.buffers.Put(buf)
	// io.Copy would splice the connections in the kernel, which not all hosts allow.
	_, err := io.CopyBuffer(w, struct{ io.Reader }{r}, buf[:])
	return trace.Wrap(err)
}

// deadlineWriter is a connection on which each write must make progress.
type deadlineWriter struct{ conn net.Conn }

// Write implements io.Writer.
func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, trace.Wrap(err)
	}
	n, err := w.conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = trace.LimitExceeded("no data accepted for %s", stallTimeout)
	}
	return n, err
}

// flusher writes each piece of data as one chunk that is sent at once.
type flusher struct {
	chunks io.Writer
	buf    *bufio.Writer
}

// Write implements io.Writer.
func (f flusher) Write(p []byte) (int, error) {
	n, err := f.chunks.Write(p)
	if err == nil {
		err = f.buf.Flush()
	}
	return n, err
}
