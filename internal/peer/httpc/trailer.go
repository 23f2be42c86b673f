package httpc

import (
	"bufio"
	"cmp"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/header"
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
		err = cmp.Or(header.ReadTrailer(b.r, b.header), io.EOF)
	}
	b.err = err
	return n, err
}
