package events

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/errgroup"

	"umberladder/internal/policy/hold"
)

const (
	// bufferedReads is the number of reads of a stream that are buffered for a slow
	// client.
	bufferedReads = 16
	// maxQueued is how many bytes are read ahead of a slow client. The engine then waits.
	maxQueued = 64 << 10
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
	body    io.ReadCloser
	partial *hold.Account // of the incomplete event
	// partialSize is what partial holds, in bytes.
	partialSize int
	delimited   bool        // the end of the body is marked, so that a truncated body is detected
	events      chan []byte // complete events, one or more in each slice
	err         error       // set before events is closed; io.EOF: the body ended regularly, after a complete event
	rest        int         // length of the incomplete event at the end of the body
	quit        chan struct{}
	done        chan struct{} // closed once the connection has ended
	once        sync.Once

	mu        sync.Mutex    // guards queueSize
	queue     *hold.Account // of the events that were delivered and not forwarded
	queueSize int           // of them, in bytes
	shrunk    chan struct{} // receives after the queue has become smaller
}

// New starts to read events from body in a goroutine of g. The pool counts the events until they
// are forwarded.
func New(g *errgroup.Group, body io.ReadCloser, delimited bool, pool *hold.Pool) *Conn {
	c := &Conn{
		body: body, partial: pool.Account(), queue: pool.Account(), delimited: delimited, events: make(chan []byte, bufferedReads),
		shrunk: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}),
	}
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
		c.queue.Close()
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
	defer c.partial.Close()
	var s scanner
	buf := make([]byte, readSize)
	for {
		n, err := c.body.Read(buf)
		s.add(buf[:n])
		if p := s.takeEvents(); len(p) > 0 {
			c.partialSize = s.size()
			_ = c.partial.Hold(hold.Responses, c.partialSize) // never fails, as the events are no part of it
			if !c.send(p) {
				return
			}
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
	switch n := s.size(); {
	case len(s.rest()) > maxEvent:
		return ErrEventTooLong
	case n == c.partialSize:
		return nil
	default:
		c.partialSize = n
		return c.partial.Hold(hold.Responses, n)
	}
}

// end sets the error with which the connection ended. An incomplete event is dropped.
func (c *Conn) end(rest []byte, err error) {
	c.rest = len(rest)
	if errors.Is(err, io.EOF) && len(rest) > 0 {
		err = ErrIncompleteEvent
	}
	c.err = err
}

// send delivers p once the queue has room for it. It returns false if the connection was closed
// meanwhile, or if too little memory is left.
func (c *Conn) send(p []byte) bool {
	for !c.enqueue(p) {
		select {
		case <-c.shrunk:
		case <-c.quit:
			c.err = io.ErrClosedPipe
			return false
		}
	}
	if c.err != nil {
		return false
	}
	select {
	case c.events <- p:
		return true
	case <-c.quit:
		c.err = io.ErrClosedPipe
		return false
	}
}

// enqueue counts p as delivered. It returns false if too many bytes were delivered and not
// forwarded. A single event may be larger; err is set if too little memory is left for it.
func (c *Conn) enqueue(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queueSize > 0 && c.queueSize+len(p) > maxQueued {
		return false
	}
	if err := c.queue.Hold(hold.Responses, c.queueSize+len(p)); err != nil {
		c.err = err
		return true
	}
	c.queueSize += len(p)
	return true
}

// Forwarded states that events from the channel are no longer held.
func (c *Conn) Forwarded(p []byte) {
	c.mu.Lock()
	c.queueSize -= len(p)
	_ = c.queue.Hold(hold.Responses, c.queueSize) // never fails for fewer bytes
	c.mu.Unlock()
	select {
	case c.shrunk <- struct{}{}:
	default:
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
