package header

import (
	"bufio"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// ReadTrailer reads what follows the last chunk of a body. The body is complete if the connection
// ends instead (RFC 9112, section 8).
func ReadTrailer(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	_, err := awaitFields(r, 0)
	if err == nil {
		err = h.ReadTrailer(r)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
