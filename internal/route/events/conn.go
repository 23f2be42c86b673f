package events

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/errgroup"

	"umberladder/internal/policy/memory"
)

const (
	// bufferedReads is the number of reads of a stream that are buffered for a slow
	// client.
	bufferedReads = 16
	// readSize is the size of one read of a stream, in bytes.
	readSize = 4 << 10
	// maxEvent is the maximum size of an event, in bytes. An event holds a few tokens; a faulty
	// engine may send one that never ends.
	maxEvent = 1 << 20
)

// ErrIncompleteEvent reports a body that ended regularly inside an event. The engine broke
// off; a complete stream ends with the empty line of its last event.
var ErrIncompleteEvent = errors.New("events: the body ended inside an event")

// ErrEventTooLong reports an event that is larger than any that an engine should send.
var ErrEventTooLong = errors.New("events: an event is longer than 1 MiB")

// Conn reads the part of a stream that arrives over one connection to an engine.
type Conn struct {
	body      io.ReadCloser
	account   *memory.Account // for the incomplete event
	delimited bool            // the end of the body is marked, so that a truncated body is detected
	events    chan []byte     // complete events, one or more in each slice
	err       error           // set before events is closed; io.EOF: the body ended regularly, after a complete event
	rest      int             // length of the incomplete event at the end of the body
	quit      chan struct{}
	done      chan struct{} // closed once the connection has ended
	once      sync.Once
}

// New starts to read events from body in a goroutine of g. Large events draw on the pool.
func New(g *errgroup.Group, body io.ReadCloser, delimited bool, pool *memory.Pool) *Conn {
	c := &Conn{body: body, account: pool.Account(), delimited: delimited, events: make(chan []byte, bufferedReads), quit: make(chan struct{}), done: make(chan struct{})}
	g.Go(func() error {
		c.read()
		return nil
	})
	return c
}

// Close closes the connection, which makes the engine stop the run.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.quit)
		_ = c.body.Close()
	})
}

// read delivers complete events until the connection ends.
func (c *Conn) read() {
	defer func() {
		// The order matters: a receiver that sees events closed must also see done
		// closed, and can then call Err.
		close(c.done)
		close(c.events)
	}()
	defer c.account.Release()
	var s scanner
	buf := make([]byte, readSize)
	for {
		n, err := c.body.Read(buf)
		s.add(buf[:n])
		if p := s.takeEvents(); len(p) > 0 && !c.send(p) {
			return
		}
		if limitErr := c.checkSize(&s); limitErr != nil {
			c.end(s.rest(), limitErr)
			return
		}
		if err != nil {
			c.end(s.rest(), err)
			return
		}
	}
}

// checkSize returns an error if an incomplete event is too large to wait for its end.
func (c *Conn) checkSize(s *scanner) error {
	if len(s.rest()) > maxEvent {
		return ErrEventTooLong
	}
	return c.account.Hold(s.size())
}

// end sets the error with which the connection ended. An incomplete event is dropped.
func (c *Conn) end(rest []byte, err error) {
	c.rest = len(rest)
	if errors.Is(err, io.EOF) && len(rest) > 0 {
		err = ErrIncompleteEvent
	}
	c.err = err
}

// send delivers p, or returns false if the connection was closed meanwhile.
func (c *Conn) send(p []byte) bool {
	select {
	case c.events <- p:
		return true
	case <-c.quit:
		c.err = io.ErrClosedPipe
		return false
	}
}

// nextLine returns the first line of p without its end, and its length with the end, which
// is zero if p has no complete line. A line ends with LF, CR or CRLF. The LF of a CRLF that
// is not in p yet counts as an empty line of its own, which changes no event.
func nextLine(p []byte) (line []byte, n int) {
	i := bytes.IndexAny(p, "\r\n")
	switch {
	case i < 0:
		return p, 0
	case bytes.HasPrefix(p[i:], []byte("\r\n")):
		return p[:i], i + 2
	default:
		return p[:i], i + 1
	}
}

// LastID returns the identifier of the last event in p, or the empty string, and the
// number of events with an identifier in p. All lines of p are complete.
func LastID(p []byte) (string, int) {
	id, count := "", 0
	for {
		line, n := nextLine(p)
		if n == 0 {
			return id, count
		}
		p = p[n:]
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(v, []byte(" ")))
			count++
		}
	}
}

// Events returns the channel of complete events, one or more in each slice. It is closed
// when the connection has ended.
func (c *Conn) Events() <-chan []byte { return c.events }

// Done returns a channel that is closed once the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended. It must be called only after Done is closed;
// io.EOF means a regular end after a complete event.
func (c *Conn) Err() error { return c.err }

// IncompleteLen returns the length, in bytes, of the incomplete event at the end of the
// body. It must be called only after Done is closed.
func (c *Conn) IncompleteLen() int { return c.rest }

// Delimited reports whether the end of the body is marked, so that truncation is
// detected.
func (c *Conn) Delimited() bool { return c.delimited }
