package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/state/follow"
)

const (
	// minPacked is the size in bytes from which changes are compressed. Smaller ones fit
	// into one packet of the network either way.
	minPacked = 1200
	// maxUnpacked is the maximum size in bytes of changes after decompression.
	maxUnpacked = 1 << 20
	// maxPackedLists is how many lists of changes a Packer holds.
	maxPackedLists = 32
)

// Packer encodes lists of changes in compressed form. It keeps the latest results, since a
// hub sends the same changes to many VMs. The lists must not be modified afterwards. It is
// safe for concurrent use.
type Packer struct {
	mu     sync.Mutex
	packed map[*follow.Change][]byte // by the first change of the list
	writer *flate.Writer
}

// NewPacker returns an empty Packer.
func NewPacker() *Packer { return &Packer{packed: make(map[*follow.Change][]byte)} }

// Update returns the encoded update.
func (p *Packer) Update(update *follow.Update) ([]byte, error) {
	b := encodeUpdateHeader(update)
	if len(update.Changes) == 0 {
		return b, nil
	}
	changes, err := p.pack(update.Changes)
	return append(b, changes...), err
}

func (p *Packer) pack(changes []follow.Change) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.packed[&changes[0]]; ok {
		return b, nil
	}
	b := encodeChanges(changes)
	if len(b) >= minPacked {
		compressed, err := p.compress(b)
		if err != nil {
			return nil, err
		}
		b = appendBytes(nil, updatePacked, compressed)
	}
	if len(p.packed) >= maxPackedLists {
		clear(p.packed)
	}
	p.packed[&changes[0]] = b
	return b, nil
}

func (p *Packer) compress(b []byte) ([]byte, error) {
	var out bytes.Buffer
	if p.writer == nil {
		w, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		p.writer = w
	}
	p.writer.Reset(&out)
	if _, err := p.writer.Write(b); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.writer.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// readers holds decompressors. Each takes 40 KB, and a VM receives several updates a second.
var readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

func decompress(compressed []byte) ([]byte, error) {
	r := readers.Get()
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r.(io.Reader), maxUnpacked+1))
}

// unpackChanges decodes compressed changes.
func unpackChanges(compressed []byte) ([]follow.Change, error) {
	b, err := decompress(compressed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(b) > maxUnpacked {
		return nil, trace.BadParameter("the changes of servers have more than %d bytes", maxUnpacked)
	}
	var out []follow.Change
	err = forEachField(b, func(num protowire.Number, data []byte, _ uint64) error {
		if num != updateChange {
			return nil
		}
		c, err := decodeChange(data)
		out = append(out, c)
		return err
	})
	return out, err
}
