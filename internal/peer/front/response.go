package front

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/call"
)

// ErrStarted is returned when a response is started a second time.
var ErrStarted = errors.New("front: the response has already started")

// ResponseWriter writes the response to one request, either complete with
// WriteResponse or in chunks with WriteHeader, WriteChunk and Finish.
type ResponseWriter struct {
	c          *conn
	closeAfter bool         // the connection is closed after the response
	draining   *atomic.Bool // if set, the connection is closed after every response
	isHead     bool         // the request is a HEAD request: the response has no body
	started    bool
	complete   bool // the complete response was written
	broken     bool
	chunked    io.WriteCloser
}

func newResponseWriter(c *conn) *ResponseWriter { return &ResponseWriter{c: c} }

// writeContinue sends the interim response 100 (Continue), which asks the
// client to send the request body.
func (w *ResponseWriter) writeContinue() error {
	if _, err := w.c.w.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.c.w.Flush()
}

// Started reports whether any part of the response was written.
func (w *ResponseWriter) Started() bool { return w.started }

// WriteResponse writes a complete response.
func (w *ResponseWriter) WriteResponse(status int, fields []call.HeaderField, body []byte) error {
	if w.started {
		return ErrStarted
	}
	w.started = true
	var h fasthttp.ResponseHeader
	w.prepareHeader(&h, status, fields)
	if omitsBody(status) {
		h.SetNoDefaultContentType(true)
		body = nil
	} else {
		h.SetContentLength(len(body))
	}
	if w.isHead {
		body = nil
	}
	_, err := w.c.w.Write(h.Header())
	if err == nil {
		_, err = w.c.w.Write(body)
	}
	return w.flush(err, true)
}

// omitsBody reports whether responses with the status have no body
// (RFC 9110, section 6.4.1).
func omitsBody(status int) bool { return status == 204 || status == 304 }

// WriteHeader starts a chunked response.
func (w *ResponseWriter) WriteHeader(status int, fields []call.HeaderField) error {
	if w.started {
		return ErrStarted
	}
	w.started = true
	var h fasthttp.ResponseHeader
	w.prepareHeader(&h, status, fields)
	h.SetContentLength(-1)
	if _, err := w.c.w.Write(h.Header()); err != nil {
		return w.flush(err, false)
	}
	w.chunked = httputil.NewChunkedWriter(w.c.w)
	return w.flush(nil, false)
}

// WriteChunk writes one chunk of a chunked response and flushes it.
func (w *ResponseWriter) WriteChunk(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	_, err := w.chunked.Write(p)
	return w.flush(err, false)
}

// Finish writes the last chunk of a chunked response.
func (w *ResponseWriter) Finish() error {
	err := w.chunked.Close()
	if err == nil {
		_, err = w.c.w.WriteString("\r\n")
	}
	return w.flush(err, true)
}

// Abort closes the connection, so that the client detects that the response is
// incomplete.
func (w *ResponseWriter) Abort() {
	w.broken = true
	w.c.close()
}

func (w *ResponseWriter) prepareHeader(h *fasthttp.ResponseHeader, status int, fields []call.HeaderField) {
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(status)
	if w.draining != nil && w.draining.Load() {
		w.closeAfter = true
	}
	for _, f := range fields {
		h.Add(f.Name, f.Value)
	}
	if w.closeAfter {
		h.SetConnectionClose()
	}
}

func (w *ResponseWriter) flush(err error, complete bool) error {
	if err == nil {
		err = w.c.w.Flush()
	}
	if err != nil {
		w.broken = true
		return err
	}
	w.complete = complete
	return nil
}

// reusable reports whether the connection can serve another request: the
// response is complete, no write failed and the connection is not to be closed.
func (w *ResponseWriter) reusable() bool { return w.complete && !w.broken && !w.closeAfter }
