package front

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/call"
)

// ErrEnded says that the answer had begun or ended already.
var ErrEnded = errors.New("front: the answer has begun already")

// Reply writes the answer to one request.
type Reply struct {
	c       *conn
	last    bool         // the connection closes after the answer
	drain   *atomic.Bool // set: every answer is the last of its connection
	head    bool         // the request wants no body
	begun   bool
	whole   bool // the answer was written whole
	broken  bool
	chunked io.WriteCloser
}

func newReply(c *conn) *Reply { return &Reply{c: c} }

// proceed asks the client for the body it offered.
func (w *Reply) proceed() error {
	if _, err := w.c.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.c.w.Flush()
}

// Begun reports whether anything of the answer was written.
func (w *Reply) Begun() bool { return w.begun }

// Whole writes a whole answer.
func (w *Reply) Whole(status int, fields []call.Field, body []byte) error {
	if w.begun {
		return ErrEnded
	}
	w.begun = true
	var h fasthttp.ResponseHeader
	w.prepare(&h, status, fields)
	if bodiless(status) {
		h.SetNoDefaultContentType(true)
		body = nil
	} else {
		h.SetContentLength(len(body))
	}
	if w.head {
		body = nil
	}
	_, err := w.c.w.Write(h.Header())
	if err == nil {
		_, err = w.c.w.Write(body)
	}
	return w.flushed(err, true)
}

// bodiless reports whether answers of a status have no body (RFC 9110, 6.4.1).
func bodiless(status int) bool { return status == 204 || status == 304 }

// Start begins an answer that comes in pieces.
func (w *Reply) Start(status int, fields []call.Field) error {
	if w.begun {
		return ErrEnded
	}
	w.begun = true
	var h fasthttp.ResponseHeader
	w.prepare(&h, status, fields)
	h.SetContentLength(-1)
	if _, err := w.c.w.Write(h.Header()); err != nil {
		return w.flushed(err, false)
	}
	w.chunked = httputil.NewChunkedWriter(w.c.w)
	return w.flushed(nil, false)
}

// Piece writes a piece of a started answer and sends it.
func (w *Reply) Piece(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.chunked.Write(p)
	return w.flushed(err, false)
}

// End completes a started answer.
func (w *Reply) End() error {
	err := w.chunked.Close()
	if err == nil {
		_, err = w.c.w.WriteString("\r\n")
	}
	return w.flushed(err, true)
}

// Abort closes the connection, so that what was written does not look whole.
func (w *Reply) Abort() {
	w.broken = true
	w.c.close()
}

func (w *Reply) prepare(h *fasthttp.ResponseHeader, status int, fields []call.Field) {
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(status)
	if w.drain != nil && w.drain.Load() {
		w.last = true
	}
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	if w.last {
		h.SetConnectionClose()
	}
}

func (w *Reply) flushed(err error, whole bool) error {
	if err == nil {
		err = w.c.w.Flush()
	}
	if err != nil {
		w.broken = true
		return err
	}
	w.whole = whole
	return nil
}

// finish reports whether the connection can serve another request.
func (w *Reply) finish() bool { return w.whole && !w.broken && !w.last }
