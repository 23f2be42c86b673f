package events

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/errgroup"
)

const (
	// bufferedReads is the number of reads of a stream that are buffered for a slow
	// client.
	bufferedReads = 16
	// readSize is the size of one read of a stream, in bytes.
	readSize = 4 << 10
)

// Conn reads the part of a stream that arrives over one connection to an engine.
type Conn struct {
	body      io.ReadCloser
	delimited bool        // the end of the body is marked, so that a truncated body is detected
	events    chan []byte // complete events, one or more in each slice
	err       error       // set before events is closed; io.EOF: the body ended regularly
	rest      int         // length of the incomplete event at the end of the body
	quit      chan struct{}
	done      chan struct{} // closed once the connection has ended
	once      sync.Once
}

// New starts to read events from body in a goroutine of g.
func New(g *errgroup.Group, body io.ReadCloser, delimited bool) *Conn {
	c := &Conn{body: body, delimited: delimited, events: make(chan []byte, bufferedReads), quit: make(chan struct{}), done: make(chan struct{})}
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
	var rest []byte
	buf := make([]byte, readSize)
	for {
		n, err := c.body.Read(buf)
		rest = append(rest, buf[:n]...)
		if at := completeLen(rest); at > 0 {
			if !c.send(bytes.Clone(rest[:at])) {
				return
			}
			rest = append(rest[:0], rest[at:]...)
		}
		if err != nil {
			c.end(rest, err)
			return
		}
	}
}

// end sets the error with which the connection ended. An incomplete event is delivered
// if the body ended regularly and dropped otherwise.
func (c *Conn) end(rest []byte, err error) {
	c.rest = len(rest)
	if errors.Is(err, io.EOF) && len(rest) > 0 {
		c.send(rest)
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

// completeLen returns the length of the complete events at the start of p. An event
// ends with an empty line.
func completeLen(p []byte) int {
	at := 0
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(p, end); i >= 0 {
			at = max(at, i+len(end))
		}
	}
	return at
}

// LastID returns the identifier of the last event in p, or the empty string, and the
// number of events with an identifier in p.
func LastID(p []byte) (string, int) {
	id, n := "", 0
	for line := range bytes.Lines(p) {
		line = bytes.TrimRight(line, "\r\n")
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(v, []byte(" ")))
			n++
		}
	}
	return id, n
}

// Events returns the channel of complete events, one or more in each slice. It is closed
// when the connection has ended.
func (c *Conn) Events() <-chan []byte { return c.events }

// Done returns a channel that is closed once the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended. It must be called only after Done is closed;
// io.EOF means a regular end.
func (c *Conn) Err() error { return c.err }

// IncompleteLen returns the length, in bytes, of the incomplete event at the end of the
// body. It must be called only after Done is closed.
func (c *Conn) IncompleteLen() int { return c.rest }

// Delimited reports whether the end of the body is marked, so that truncation is
// detected.
func (c *Conn) Delimited() bool { return c.delimited }
