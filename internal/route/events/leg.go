package events

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/errgroup"
)

const (
	// legBuffer is how many reads of a stream may wait for a slow client.
	legBuffer = 16
	// readSize is the size of one read of a stream, in bytes.
	readSize = 4 << 10
)

// Leg is the part of a stream that comes over one connection to an engine.
type Leg struct {
	body   io.ReadCloser
	framed bool        // the end of the body is marked, so that a cut one can't look whole
	events chan []byte // whole events, one or more in each slice
	err    error       // set before events is closed; io.EOF: the stream is whole
	quit   chan struct{}
	done   chan struct{} // closed once the connection has ended
	once   sync.Once
}

// New begins to read a leg.
func New(g *errgroup.Group, body io.ReadCloser, framed bool) *Leg {
	l := &Leg{body: body, framed: framed, events: make(chan []byte, legBuffer), quit: make(chan struct{}), done: make(chan struct{})}
	g.Go(func() error {
		l.read()
		return nil
	})
	return l
}

// Close ends the connection and with it the engine's work.
func (l *Leg) Close() {
	l.once.Do(func() {
		close(l.quit)
		_ = l.body.Close()
	})
}

// read passes whole events on; what is left of an event that breaks off is dropped.
func (l *Leg) read() {
	defer func() {
		// Whoever sees that there are no more events must see why.
		close(l.done)
		close(l.events)
	}()
	var rest []byte
	buf := make([]byte, readSize)
	for {
		n, err := l.body.Read(buf)
		rest = append(rest, buf[:n]...)
		if at := lastEnd(rest); at > 0 {
			if !l.pass(bytes.Clone(rest[:at])) {
				return
			}
			rest = append(rest[:0], rest[at:]...)
		}
		if err != nil {
			l.finish(rest, err)
			return
		}
	}
}

func (l *Leg) finish(rest []byte, err error) {
	if errors.Is(err, io.EOF) && len(rest) > 0 {
		l.pass(rest)
	}
	l.err = err
}

func (l *Leg) pass(p []byte) bool {
	select {
	case l.events <- p:
		return true
	case <-l.quit:
		l.err = io.ErrClosedPipe
		return false
	}
}

// lastEnd returns the length of the whole events at the start of p. An event
// ends with an empty line.
func lastEnd(p []byte) int {
	at := 0
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(p, end); i >= 0 {
			at = max(at, i+len(end))
		}
	}
	return at
}

// LastID returns the identifier of the last event in p, or nothing, and how
// many events p holds.
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

// Events returns whole events, one or more in each slice, until the connection
// has ended.
func (l *Leg) Events() <-chan []byte { return l.events }

// Done returns a channel that is closed once the connection has ended.
func (l *Leg) Done() <-chan struct{} { return l.done }

// Err returns why the connection ended, once it has; io.EOF is its regular end.
func (l *Leg) Err() error { return l.err }

// Framed reports whether the end of the stream is marked, so that one that was
// cut can't look whole.
func (l *Leg) Framed() bool { return l.framed }
