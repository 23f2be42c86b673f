package routes

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// maxDocument is the largest document that is taken, in bytes: values of the
// store are smaller by far.
const maxDocument = 16 << 20

// Document is a settings document as the operators wrote it. It is held in one
// form only: 0.9 MB with 4,200 routes, 62 KB as compressed. It is safe for use by
// several goroutines.
type Document struct {
	mu     sync.Mutex
	raw    []byte // nil once packed
	packed []byte
}

// NewDocument makes a document of what was read.
func NewDocument(raw []byte) *Document { return &Document{raw: raw} }

// Unpack makes a document of its compressed form, and returns what it holds.
func Unpack(packed []byte) (*Document, []byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	raw := bytes.NewBuffer(make([]byte, 0, length(packed)+bytes.MinRead))
	if _, err := raw.ReadFrom(io.LimitReader(r, maxDocument)); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return &Document{packed: packed}, raw.Bytes(), nil
}

// length returns how long a document says it is, in bytes: the last four bytes of
// the format, by RFC 1952. It spares growing buffers of 3 MB for 0.9.
func length(packed []byte) int {
	const size = 4
	if len(packed) < size {
		return 0
	}
	return min(int(binary.LittleEndian.Uint32(packed[len(packed)-size:])), maxDocument)
}

// Packed returns the compressed form. It is made at the first call.
func (d *Document) Packed() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.packed != nil {
		return d.packed, nil
	}
	packed, err := pack(d.raw)
	if err != nil {
		return nil, err
	}
	d.raw, d.packed = nil, packed
	return packed, nil
}

// pack compresses for speed: 3 ms for 0.9 MB on a whole core, where the default
// takes 6 ms for a result 3% smaller.
func pack(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return b.Bytes(), nil
}
