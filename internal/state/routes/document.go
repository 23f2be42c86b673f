package routes

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// maxDocument is the size of the largest document that is accepted, in bytes. Values in
// the store are much smaller.
const maxDocument = 16 << 20

// Document is a settings document as the operators wrote it. It is kept either as written
// or compressed, not both: a document with 4,200 routes takes 0.9 MB, compressed 62 KB.
// It is safe for use by several goroutines.
type Document struct {
	mu         sync.Mutex
	raw        []byte // nil once compressed
	compressed []byte
}

// NewDocument returns a document with the given content.
func NewDocument(raw []byte) *Document { return &Document{raw: raw} }

// Decompress returns a document with the given compressed content, and its content.
func Decompress(compressed []byte) (*Document, []byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	raw := bytes.NewBuffer(make([]byte, 0, sizeHint(compressed)+bytes.MinRead))
	if _, err := raw.ReadFrom(io.LimitReader(r, maxDocument)); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	return &Document{compressed: compressed}, raw.Bytes(), nil
}

// sizeHint returns the uncompressed size that the data states, in bytes: the last four
// bytes of the gzip format, by RFC 1952. Without it, buffers of 3 MB in total are
// allocated for a document of 0.9 MB.
func sizeHint(compressed []byte) int {
	const size = 4
	if len(compressed) < size {
		return 0
	}
	return min(int(binary.LittleEndian.Uint32(compressed[len(compressed)-size:])), maxDocument)
}

// Compressed returns the document in compressed form. The first call compresses it.
func (d *Document) Compressed() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.compressed != nil {
		return d.compressed, nil
	}
	compressed, err := compress(d.raw)
	if err != nil {
		return nil, err
	}
	d.raw, d.compressed = nil, compressed
	return compressed, nil
}

// compress uses the fastest compression level: 3 ms for 0.9 MB on one core. The default
// level takes 6 ms for a result that is 3% smaller.
func compress(raw []byte) ([]byte, error) {
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
