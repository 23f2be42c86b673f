package events

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/policy/hold"
)

// readAll returns the events of a body and the error with which it ended.
func readAll(t *testing.T, body io.Reader) (string, error) {
	t.Helper()
	var g errgroup.Group
	c := New(&g, io.NopCloser(body), true, hold.NewPool(hold.Limits{Memory: 2 * maxEvent}))
	got := ""
	for p := range c.Events() {
		got += string(p)
		c.Forwarded(p)
	}
	select {
	case <-c.Done():
	default:
		t.Fatal("events is closed, but done is not")
	}
	assert.NilError(t, g.Wait())
	return got, c.Err()
}

// TestEnd reads many streams to their end. When the channel of events is closed, Done
// must be closed too and Err must be set.
func TestEnd(t *testing.T) {
	for range 2000 {
		got, err := readAll(t, strings.NewReader("id: 1\ndata: x\n\nid: 2\nda"))
		assert.Assert(t, errors.Is(err, ErrIncompleteEvent))
		assert.Equal(t, got, "id: 1\ndata: x\n\n")
	}
}

// TestLineEnds checks where events end: at an empty line, with any line ends, however the
// body is split into reads.
func TestLineEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		body     string
		complete bool
		id       string
		events   int
	}{
		"LF":                         {body: "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", complete: true, id: "2", events: 2},
		"CRLF":                       {body: "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", complete: true, id: "2", events: 2},
		"CR":                         {body: "id: 1\rdata: x\r\rid: 2\rdata: y\r\r", complete: true, id: "2", events: 2},
		"mixed":                      {body: "id: 1\r\ndata: x\n\r\nid: 2\rdata: y\n\rid: 3\n\r\n", complete: true, id: "3", events: 3},
		"LF, then CR":                {body: "id: 1\n\r", complete: true, id: "1", events: 1},
		"no events":                  {complete: true},
		"a comment":                  {body: ": x\n\nid: 1\n\n", complete: true, id: "1", events: 1},
		"empty lines after an event": {body: "id: 1\n\n\n\n", complete: true, id: "1", events: 1},
		"inside a line":              {body: "id: 1\n\nid: 2"},
		"inside a comment":           {body: "id: 1\n\n: x"},
		"before the empty line, LF":  {body: "id: 1\n\nid: 2\n"},
		"before the empty line, CR":  {body: "id: 1\r\rid: 2\r"},
		"inside the first event":     {body: "id: 1\ndata: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, split := range []func(io.Reader) io.Reader{
				func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader,
			} {
				got, err := readAll(t, split(strings.NewReader(tc.body)))
				assert.Assert(t, strings.HasPrefix(tc.body, got), "%q", got)
				assert.Equal(t, errors.Is(err, io.EOF), tc.complete, "%v", err)
				if tc.complete {
					assert.Equal(t, got, tc.body)
					id, n := LastID([]byte(got))
					assert.Equal(t, id, tc.id)
					assert.Equal(t, n, tc.events)
				}
			}
		})
	}
}

// endless repeats a text without an end.
type endless struct {
	text string
	read int // bytes
}

func (e *endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text[(e.read+n)%len(e.text):])
	}
	e.read += n
	return n, nil
}

// TestEndlessEvent guards against an event without an end, which was kept whole, and searched from
// its start at each read, until the client gave up.
func TestEndlessEvent(t *testing.T) {
	for name, text := range map[string]string{
		"one line": "x", "many lines": "data: x\n", "many lines after CRLF": "data: x\r\n", "a comment": ": x\n",
	} {
		t.Run(name, func(t *testing.T) {
			body := &endless{text: text}
			got, err := readAll(t, io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.HalfReader(body)))
			assert.ErrorIs(t, err, ErrEventTooLong)
			assert.Equal(t, got, "id: 1\n\n")
			assert.Assert(t, body.read <= maxEvent+2*readSize, "%d bytes were read", body.read)
		})
	}
}

// TestLargeEvent checks that a large event is delivered, also if it arrives byte by byte. Searched
// from its start at each read, it takes about a minute.
func TestLargeEvent(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", maxEvent-20) + "\n\n"
	for name, r := range map[string]io.Reader{"at once": strings.NewReader(event), "byte by byte": iotest.OneByteReader(strings.NewReader(event))} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			got, err := readAll(t, r)
			assert.ErrorIs(t, err, io.EOF)
			assert.Assert(t, got == event)
			assert.Assert(t, time.Since(start) < 5*time.Second, "it took %s", time.Since(start))
		})
	}
}

// TestSharedMemory guards against streams that together hold more memory than the VM has, while
// each holds little enough.
func TestSharedMemory(t *testing.T) {
	const streams = 50
	pool := hold.NewPool(hold.Limits{Memory: 4 << 20})
	var g errgroup.Group
	var conns []*Conn
	for range streams {
		conns = append(conns, New(&g, io.NopCloser(&endless{text: "x"}), true, pool))
	}
	for _, c := range conns {
		<-c.Done()
		assert.Assert(t, errors.Is(c.Err(), ErrEventTooLong) || errors.Is(c.Err(), hold.ErrExhausted), "%v", c.Err())
	}
	assert.NilError(t, g.Wait())
	assert.Equal(t, pool.Held(hold.Responses), 0)
}
