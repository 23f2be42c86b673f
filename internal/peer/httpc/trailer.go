package httpc

import (
	"bufio"
	"cmp"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// chunkedBody reads a body in chunks and its trailer.
type chunkedBody struct {
	chunks io.Reader
	r      *bufio.Reader // beneath chunks
	header *fasthttp.ResponseHeader
	err    error // with which reading ended
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(readTrailer(b.r, b.header), io.EOF)
	}
	b.err = err
	return n, err
}

// readTrailer reads what follows the last chunk of a body. The body is complete if the connection
// ends instead (RFC 9112, section 8).
func readTrailer(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	_, err := awaitFields(r, 0)
	if err == nil {
		err = h.ReadTrailer(r)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
