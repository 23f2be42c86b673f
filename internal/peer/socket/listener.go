package socket

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// retryDelay is the pause after a connection could not be accepted. Descriptors become available as
// other connections end.
const retryDelay = 20 * time.Millisecond

// Listener accepts connections until it is closed, whatever resources run out meanwhile. It is
// safe for concurrent use.
type Listener struct {
	net.Listener
	onShortage func()
	log        *zap.Logger
	closed     chan struct{}
	once       sync.Once

	mu      sync.Mutex
	failing bool
}

// New returns a listener that accepts the connections of ln. It calls onShortage each time that the
// process or its host lacks a resource for another connection.
func New(ln net.Listener, onShortage func(), log *zap.Logger) *Listener {
	return &Listener{Listener: ln, onShortage: onShortage, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection. Its error is not nil only if the listener is closed or
// unusable.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		l.record(err)
		if err == nil || !passes(err) {
			return c, err
		}
		if IsShortage(err) {
			l.onShortage()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(retryDelay):
		}
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// record logs when connections can't be accepted, and when they are again.
func (l *Listener) record(err error) {
	failing := IsShortage(err)
	l.mu.Lock()
	changed := failing != l.failing
	l.failing = failing
	l.mu.Unlock()
	switch {
	case changed && failing:
		l.log.Warn("connections cannot be accepted", zap.Stringer("address", l.Addr()), zap.Error(err))
	case changed && err == nil:
		l.log.Warn("connections are accepted again", zap.Stringer("address", l.Addr()))
	}
}

// passes reports whether an error of Accept does not concern the listener.
func passes(err error) bool { return IsShortage(err) || errors.Is(err, syscall.ECONNABORTED) }

// IsShortage reports whether err says that the process or its host lacks a resource for another
// connection.
func IsShortage(err error) bool {
	for _, e := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
