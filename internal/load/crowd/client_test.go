package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// sendTime bounds how long a crowd sends, in all.
	sendTime = 12 * time.Second
	// holdTime is how long a crowd stays connected after it has sent.
	holdTime = time.Second
)

// crowd holds the connections of clients.
type crowd struct {
	addr netip.AddrPort
	end  time.Time // of sending

	mu    sync.Mutex
	conns []net.Conn
}

// newCrowd opens n connections, and has send use each of them. It returns once all have been used,
// or the VM reads and accepts no more, and the crowd has been connected for holdTime. Connections
// that the VM closes are not replaced.
func newCrowd(t *testing.T, addr netip.AddrPort, n int, send func(n int, c net.Conn)) *crowd {
	t.Helper()
	w := &crowd{addr: addr, end: time.Now().Add(sendTime)}
	t.Cleanup(w.leave)
	const opening = 64
	var g errgroup.Group
	g.SetLimit(n)
	turns := make(chan struct{}, opening)
	for i := range n {
		turns <- struct{}{}
		g.Go(func() error {
			c, err := net.DialTimeout("tcp", addr.String(), time.Second)
			<-turns
			if err != nil {
				return nil //nolint:nilerr // the VM may refuse connections
			}
			w.mu.Lock()
			w.conns = append(w.conns, c)
			w.mu.Unlock()
			_ = c.SetDeadline(w.end)
			send(i, c)
			return nil
		})
	}
	_ = g.Wait()
	time.Sleep(holdTime)
	return w
}

// leave closes the connections of the crowd.
func (w *crowd) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
	w.conns = nil
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

// sendZeros sends n bytes.
func sendZeros(c net.Conn, n int) { _, _ = io.CopyN(c, zeros{}, int64(n)) }

// sendChunks sends chunks that hold n bytes, without the last one.
func sendChunks(c net.Conn, n int) {
	const size = 16 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("0", size))
	for range n / size {
		if _, err := io.WriteString(c, chunk); err != nil {
			return
		}
	}
}
