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
)

const (
	// writeStall is how long a client may not read before its connection is
	// given up. It is over every pause a client itself puts up with.
	writeStall = 10 * time.Second
	// idleSlack is added to the idle limit, so that a client that reuses a
	// connection at the last allowed moment does not meet a close.
	idleSlack = 500 * time.Millisecond
	// keepAliveIdle and keepAliveEvery find clients that went away silently.
	keepAliveIdle  = 5 * time.Second
	keepAliveEvery = 2 * time.Second
	// firstBuffer is the size of a connection's read buffer while heads are small.
	firstBuffer = 4 << 10
)

// Limits bound what a client may send and how long it may take.
type Limits struct {
	Header     int // bytes
	Body       int // bytes
	HeaderTime time.Duration
	Idle       time.Duration
}

// Handler answers one request. The context ends when the client leaves.
type Handler func(ctx context.Context, r *Request, w *Reply)

// Rejector answers a request that can't be read; the connection is closed after it.
type Rejector func(w *Reply, fault Fault, detail string)

// Server serves the connections of one listener.
type Server struct {
	handle Handler
	reject Rejector
	limits func() Limits
	log    *zap.Logger
	group  errgroup.Group
	open   atomic.Int64
	idle   idleSet

	draining atomic.Bool
}

// New makes a server. The limits are read anew for each request.
func New(handle Handler, reject Rejector, limits func() Limits, log *zap.Logger) *Server {
	return &Server{handle: handle, reject: reject, limits: limits, log: log}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return s.ended(ctx, err)
		}
		s.open.Add(1)
		s.group.Go(func() error {
			defer s.open.Add(-1)
			s.serve(ctx, c)
			return nil
		})
	}
}

// ended returns why no connection is taken any more; closing the listener to
// stop is no error.
func (s *Server) ended(ctx context.Context, err error) error {
	if ctx.Err() != nil || s.draining.Load() {
		return nil //nolint:nilerr // the listener was closed to stop
	}
	return trace.Wrap(err)
}

// Open returns the number of open connections.
func (s *Server) Open() int64 { return s.open.Load() }

// Drain makes every further answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which nothing of a request has come for
// the given time.
func (s *Server) CloseIdle(quiet time.Duration) { s.idle.close(time.Now().Add(-quiet)) }

// Wait returns when all connections have ended.
func (s *Server) Wait() { _ = s.group.Wait() }

func (s *Server) serve(ctx context.Context, nc net.Conn) {
	setKeepAlive(nc)
	c := newConn(nc)
	defer c.close()
	for first := true; ; first = false {
		if !s.exchange(ctx, c, first) {
			return
		}
	}
}

// exchange serves one request; false ends the connection.
func (s *Server) exchange(ctx context.Context, c *conn, first bool) bool {
	limits := s.limits()
	if !s.await(c, limits, first) {
		return false
	}
	c.fit(limits.Header)
	w := newReply(c)
	r, fault := readRequest(c, limits, w)
	if fault != nil {
		s.log.Info("request not readable", zap.Stringer("client", c.remote), zap.String("fault", fault.Error()))
		if fault.answerable() {
			w.last = true
			s.reject(w, fault.Fault, fault.Error())
			c.linger()
		}
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.last = r.last || s.draining.Load()
	w.drain = &s.draining
	w.head = r.Method == http.MethodHead
	stop := c.watch(&s.group, cancel)
	s.handle(ctx, r, w)
	alive := stop()
	return alive && w.finish()
}

// await waits for the first byte of a request.
func (s *Server) await(c *conn, limits Limits, first bool) bool {
	if c.r.Buffered() > 0 {
		return true
	}
	wait := limits.Idle + idleSlack
	if first {
		wait = max(wait, limits.HeaderTime)
	}
	s.idle.add(c)
	defer s.idle.remove(c)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.r.Peek(1)
	return err == nil
}

// idleSet holds the connections that wait for a request.
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

func (s *idleSet) close(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.conns {
		if since.Before(before) {
			c.close()
		}
	}
}
