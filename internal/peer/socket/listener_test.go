package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// failing is a listener whose calls of Accept fail one after the other, and then succeed.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", f.errs[0])}
	f.errs = f.errs[1:]
	return nil, err
}

func listen(t *testing.T, errs ...error) (*Listener, *int, *observer.ObservedLogs) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	core, logs := observer.New(zap.WarnLevel)
	shortages := 0
	l := New(&failing{ln, errs}, func() { shortages++ }, zap.New(core))
	t.Cleanup(func() { _ = l.Close() })
	return l, &shortages, logs
}

// TestShortage guards against a process that ends, or a listener that no longer accepts, because
// descriptors or buffers were used up for a moment.
func TestShortage(t *testing.T) {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		t.Run(e.Error(), func(t *testing.T) {
			l, shortages, logs := listen(t, e, e, e)
			c, err := l.Accept()
			assert.NilError(t, err)
			assert.Assert(t, c != nil)
			lines, calls := 1, 3
			if errors.Is(e, syscall.ECONNABORTED) {
				lines, calls = 0, 0 // a client left
			}
			assert.Equal(t, *shortages, calls)
			assert.Equal(t, logs.FilterMessage("connections cannot be accepted").Len(), lines)
			assert.Equal(t, logs.FilterMessage("connections are accepted again").Len(), lines)
		})
	}
}

// TestUnusable guards against a listener that goes on after an error that does not pass.
func TestUnusable(t *testing.T) {
	l, _, _ := listen(t, syscall.EINVAL)
	_, err := l.Accept()
	assert.Assert(t, errors.Is(err, syscall.EINVAL))
}

// TestClose guards against a listener that waits for descriptors after it was closed.
func TestClose(t *testing.T) {
	errs := make([]error, 1_000_000)
	for i := range errs {
		errs[i] = syscall.EMFILE
	}
	l, _, _ := listen(t, errs...)
	var g errgroup.Group
	g.Go(func() error {
		_, err := l.Accept()
		return err
	})
	assert.NilError(t, l.Close())
	assert.Assert(t, errors.Is(g.Wait(), net.ErrClosed))
}
