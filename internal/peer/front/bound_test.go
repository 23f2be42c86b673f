package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/policy/hold"
	"umberladder/internal/test/check"
)

// boundLimits allow bodies that are larger than a small pool.
var boundLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}

const bodyHead = "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"

// TestBodyMemory guards against bodies that take a VM's memory: an unfinished body is refused once
// another one needs its memory, and a client that only announces a body takes none.
func TestBodyMemory(t *testing.T) {
	const size = 300 << 10
	for name, tc := range map[string]struct {
		head string
		sent int // of the others' bodies
		want string
	}{
		"others have sent most of theirs":   {fmt.Sprintf(bodyHead, size), size - 1, "HTTP/1.1 503"},
		"others have sent chunks":           {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4afff\r\n", size - 1, "HTTP/1.1 503"},
		"others have announced theirs only": {fmt.Sprintf(bodyHead, size), 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			held := hold.NewPool(hold.Limits{Memory: 2 << 20})
			_, dial := startBoundedServer(t, echo, held, boundLimits)
			var others []net.Conn
			for range 8 {
				c := dial()
				_, _ = io.WriteString(c, tc.head+strings.Repeat("x", tc.sent))
				others = append(others, c)
			}
			got := send(t, dial(), fmt.Sprintf(bodyHead, size)+strings.Repeat("y", size))
			assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 200"), "%.100q", got)
			refused := 0
			for _, c := range others {
				_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				if line, _ := bufio.NewReader(c).ReadString('\n'); line != "" {
					assert.Assert(t, strings.HasPrefix(line, tc.want) && tc.want != "", "%q", line)
					refused++
				}
				_ = c.Close()
			}
			assert.Equal(t, refused > 0, tc.want != "")
			assert.Assert(t, refused < len(others), "all others were refused")
		})
	}
}

// TestUnservableBody guards against a client that waits for memory that the VM can never have.
func TestUnservableBody(t *testing.T) {
	_, dial := startBoundedServer(t, echo, hold.NewPool(hold.Limits{Memory: 1 << 20}), boundLimits)
	got := send(t, dial(), fmt.Sprintf(bodyHead, 1<<20))
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 507"), "%q", got)
}

// TestLargeHeaders checks that header sections of any size within the limit are read, also one after
// the other on a connection, and that what they take is given back.
func TestLargeHeaders(t *testing.T) {
	held := hold.NewPool(hold.Limits{Memory: 2 << 20})
	_, dial := startBoundedServer(t, echo, held, boundLimits)
	c := dial()
	r := bufio.NewReader(c)
	for _, size := range []int{10, 3 << 10, 4 << 10, 5 << 10, 15 << 10, 10, 6 << 10} {
		_, err := fmt.Fprintf(c, "POST /a/%d HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\nContent-Length: 3\r\n\r\nabc", size, strings.Repeat("x", size))
		assert.NilError(t, err)
		line, err := r.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 200 OK\r\n")
		want := fmt.Sprintf(`POST /a/%d h "abc" 1`, size)
		for !strings.HasSuffix(line, want) {
			b, err := r.ReadByte()
			assert.NilError(t, err)
			line += string(b)
		}
	}
	check.Eventually(t, time.Second, "only the connection is held", func() bool {
		return held.Held(hold.Requests) == 0 && held.Held(hold.Connections) == connBytes
	})
}

// TestTruncatedChunks guards against a body in chunks that is taken for complete although its
// connection ended inside it.
func TestTruncatedChunks(t *testing.T) {
	for _, raw := range []string{"3\r\nab", "3\r\nabc\r\n", "3\r\nabc\r\n0\r\n"} {
		_, dial := startServer(t, echo)
		c := dial()
		_, _ = io.WriteString(c, "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+raw)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		b, _ := io.ReadAll(c)
		assert.Equal(t, string(b), "", "%q", raw)
	}
}

// TestLongTrailer guards against trailers without an end.
func TestLongTrailer(t *testing.T) {
	_, dial := startServer(t, echo)
	got := send(t, dial(), "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"+strings.Repeat("X-A: 1\r\n", 1000))
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 431"), "%q", got)
}

// TestIdleReclaimed checks that idle connections make room for new ones, the oldest first, and that
// one with a call under way is not closed.
func TestIdleReclaimed(t *testing.T) {
	const descriptors = 120 // of which clients may use 41
	release := make(chan struct{})
	held := hold.NewPool(hold.Limits{Memory: 8 << 20, Descriptors: func() int { return descriptors }})
	_, dial := startBoundedServer(t, func(ctx context.Context, r *Request, w *ResponseWriter) {
		if r.Path == "/wait/" {
			<-release
		}
		echo(ctx, r, w)
	}, held, boundLimits)
	busy := dial()
	_, _ = io.WriteString(busy, "GET /wait/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	var idle []net.Conn
	for range descriptors {
		c := dial()
		_, _ = io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
		line, err := bufio.NewReader(c).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 200 OK\r\n")
		idle = append(idle, c)
	}
	close(release)
	got, err := io.ReadAll(busy)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(got), "HTTP/1.1 200"))
	_, err = io.ReadAll(idle[0])
	assert.NilError(t, err, "the oldest one was not closed")
	last := idle[len(idle)-1]
	_, _ = io.WriteString(last, "GET /a/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	got, _ = io.ReadAll(last)
	assert.Assert(t, strings.Contains(string(got), "HTTP/1.1 200"), "the youngest one was closed")
}

// TestUnreadResponse guards against memory that clients hold by not reading: the connection of one
// that has not read for long is closed once others need what it holds.
func TestUnreadResponse(t *testing.T) {
	const size = 8 << 20
	held := hold.NewPool(hold.Limits{Memory: 2 << 20})
	ended := make(chan error, 1)
	_, dial := startBoundedServer(t, func(_ context.Context, r *Request, w *ResponseWriter) {
		if r.Path != "/large/" {
			_ = w.WriteResponse(200, []call.HeaderField{}, nil)
			return
		}
		a := held.Account()
		assert.Check(t, a.Hold(hold.Responses, 1800<<10) == nil)
		ended <- w.WriteResponse(200, nil, make([]byte, size))
		a.Close()
	}, held, boundLimits)
	c := dial()
	_, _ = io.WriteString(c, "GET /large/ HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(1100 * time.Millisecond)
	other := held.Account()
	assert.NilError(t, other.Hold(hold.Responses, 1<<20))
	other.Close()
	assert.Assert(t, <-ended != nil)
}

// TestPipelinedDisconnect guards against calls that go on after their client, which had sent more
// requests ahead, has closed its connection.
func TestPipelinedDisconnect(t *testing.T) {
	gone := make(chan struct{})
	_, dial := startServer(t, func(ctx context.Context, _ *Request, w *ResponseWriter) {
		<-ctx.Done()
		close(gone)
		w.Abort()
	})
	c := dial()
	_, _ = io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	select {
	case <-gone:
	case <-time.After(2 * time.Second):
		t.Fatal("the call goes on")
	}
}
