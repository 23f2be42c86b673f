package hold

import (
	"errors"
	"io"
)

// FirstBytes is the size of the buffer with which reading a body begins.
const FirstBytes = 16 << 10

// ReadAll reads up to size bytes of a body. The account counts the buffer as a request, beside base
// bytes; the buffer grows with what has arrived, whatever the client has announced. The error is
// that of Hold or of the body; io.EOF before size bytes is none.
func (a *Account) ReadAll(body io.Reader, size, base int) ([]byte, error) {
	var buf []byte
	for grown := min(FirstBytes, size); ; grown = min(2*grown, size) {
		if err := a.Hold(Requests, base+grown); err != nil {
			return nil, err
		}
		buf = append(make([]byte, 0, grown), buf...)
		for len(buf) < grown {
			n, err := body.Read(buf[len(buf):grown])
			buf = buf[:len(buf)+n]
			if errors.Is(err, io.EOF) {
				return buf, nil
			}
			if err != nil {
				return nil, err
			}
		}
		if grown == size {
			return buf, nil
		}
	}
}
