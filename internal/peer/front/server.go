package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/peer/linger"
	"umberladder/internal/peer/socket"
	"umberladder/internal/policy/hold"
)

const (
	// writeTimeout is how long a write may block because the client does not read,
	// before its connection is closed. It is longer than any pause that a client
	// itself tolerates.
	writeTimeout = 10 * time.Second
	// idleMargin is added to the idle timeout, so that a client that reuses a
	// connection just before the timeout does not find it closed.
	idleMargin = 500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval configure the TCP keep-alive probes that
	// detect clients that vanished without closing the connection.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	// initialBufferSize is the size of a connection's read and write buffers. The read buffer
	// grows to the header limit for a header section that needs it.
	initialBufferSize = 4 << 10
)

// Limits bounds the size of a request and the time a client has to send it.
type Limits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Handler responds to one request. The context is canceled when the client
// disconnects.
type Handler func(ctx context.Context, r *Request, w *ResponseWriter)

// ErrorHandler responds to a request that can't be read, of which r has the header fields; nil: they
// can't be read either. The connection is closed afterwards.
type ErrorHandler func(w *ResponseWriter, r *Request, f Fault)

// Gate decides which connections are served.
type Gate interface {
	// Admit reports whether to serve a new connection. Otherwise, it is closed unread, so
	// that its client tries again elsewhere.
	Admit(now time.Time) bool
	// Shedding reports whether connections are to be closed after their next response.
	Shedding(now time.Time) bool
}

// Server serves the connections of one listener.
type Server struct {
	handle      Handler
	handleError ErrorHandler
	limits      func() Limits
	gate        Gate
	held        *hold.Pool
	log         *zap.Logger
	group       errgroup.Group
	openConns   atomic.Int64
	idle        idleSet

	draining atomic.Bool
}

// New returns a server. It calls limits for each request. The pool bounds what is held for clients.
func New(handle Handler, handleError ErrorHandler, limits func() Limits, gate Gate, held *hold.Pool, log *zap.Logger) *Server {
	return &Server{handle: handle, handleError: handleError, limits: limits, gate: gate, held: held, log: log}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return s.acceptError(ctx, err)
		}
		if !s.gate.Admit(time.Now()) {
			socket.Reset(nc)
			continue
		}
		c := newConn(nc)
		if c.account, err = s.held.Open(c.interrupt); err != nil {
			socket.Reset(nc)
			continue
		}
		s.openConns.Add(1)
		s.group.Go(func() error {
			defer s.openConns.Add(-1)
			defer c.account.Close()
			s.serve(ctx, c)
			return nil
		})
	}
}

// acceptError returns the error that ended Serve. Closing the listener in order
// to stop is not an error.
func (s *Server) acceptError(ctx context.Context, err error) error {
	if ctx.Err() != nil || s.draining.Load() {
		return nil //nolint:nilerr // the listener was closed to stop
	}
	return trace.Wrap(err)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int64 { return s.openConns.Load() }

// Drain closes each connection after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections that have been waiting for a request for
// longer than minIdle.
func (s *Server) CloseIdle(minIdle time.Duration) { s.idle.close(time.Now().Add(-minIdle)) }

// Wait blocks until all connections are closed.
func (s *Server) Wait() { _ = s.group.Wait() }

func (s *Server) serve(ctx context.Context, c *conn) {
	if c.account.Hold(hold.Connections, connBytes) != nil {
		c.closeOnce.Do(func() { socket.Reset(c.Conn) })
		return
	}
	defer c.close()
	setKeepAlive(c.Conn)
	for first := true; ; first = false {
		if !s.serveRequest(ctx, c, first) {
			return
		}
	}
}

// serveRequest serves one request and reports whether the connection can serve
// another.
func (s *Server) serveRequest(ctx context.Context, c *conn, first bool) bool {
	limits := s.limits()
	if !s.waitForRequest(c, limits, first) {
		return false
	}
	if c.account.SetState(hold.Receiving, 0) != nil {
		return false
	}
	c.acquireWriter()
	defer c.releaseWriter()
	defer c.releaseRequest()
	c.checkSent()
	w := newResponseWriter(c)
	r, rerr := readRequest(c, limits, s.held.LargestRequest(), w)
	if rerr == nil && c.account.SetState(hold.Busy, 0) != nil {
		rerr = errReclaimed()
	}
	if rerr != nil {
		s.reject(c, w, r, rerr)
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.closeAfter = r.closeAfter || s.draining.Load() || s.gate.Shedding(time.Now())
	w.draining = &s.draining
	w.isHead = r.Method == http.MethodHead
	stop := c.watchDisconnect(&s.group, cancel)
	s.handle(ctx, r, w)
	alive := stop()
	return alive && w.reusable()
}

// reject responds to a request that can't be read.
func (s *Server) reject(c *conn, w *ResponseWriter, r *Request, rerr *readError) {
	s.log.Info("cannot read request", zap.Stringer("client", c.remote), zap.String("fault", rerr.Error()))
	if !rerr.canRespond() {
		return
	}
	if r != nil {
		r.Body = nil
	}
	c.r = nil // the rest of the request is discarded
	c.releaseRequest()
	w.closeAfter = true
	s.handleError(w, r, rerr.fault())
	_ = c.account.SetState(hold.Idle, 0) // a reclaimed connection is about to be closed
	linger.Drain(c.Conn)
}

// waitForRequest blocks until the first byte of a request arrives and reports
// whether one did.
func (s *Server) waitForRequest(c *conn, limits Limits, first bool) bool {
	if c.r.Buffered() > 0 {
		return true
	}
	wait := limits.IdleTimeout + idleMargin
	if first {
		wait = max(wait, limits.HeaderTimeout)
	}
	s.idle.add(c)
	defer s.idle.remove(c)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	if c.account.SetState(hold.Idle, 0) != nil {
		return false
	}
	_, err := c.r.Peek(1)
	return err == nil
}

// idleSet holds the connections that wait for a request, and since when.
type idleSet struct {
	mu    sync.Mutex
	conns map[*conn]time.Time
}

func (s *idleSet) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]time.Time)
	}
	s.conns[c] = time.Now()
}

func (s *idleSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *idleSet) close(cutoff time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.conns {
		if since.Before(cutoff) {
			c.close()
		}
	}
}
