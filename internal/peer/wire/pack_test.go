package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/srvtab"
)

func manyChanges(n int) []follow.Change {
	out := make([]follow.Change, n)
	for i := range out {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8387)
		out[i] = follow.Change{Rev: follow.Revision(i + 1), Entry: srvtab.Entry{
			ID: ident.Server(fmt.Sprintf("i-%010x@%d", i*0x9e3779b1, 1700000000000+i)), Service: "engines", Domain: "domain-a", Addr: addr, Slots: 24,
		}}
	}
	return out
}

func TestPacker(t *testing.T) {
	for _, n := range []int{0, 1, 250} {
		t.Run(fmt.Sprint(n, " changes"), func(t *testing.T) {
			want := follow.Update{Base: 3, Rev: 900, Age: 5, More: n > 1, Changes: manyChanges(n)}
			p := NewPacker()
			for range 2 {
				b, err := p.Update(&want)
				assert.NilError(t, err)
				m, err := Decode((&Message{VM: "a", ServerUpdate: &want, PackedUpdate: b}).Encode())
				assert.NilError(t, err)
				assert.Equal(t, len(m.ServerUpdate.Changes), n)
				for i, c := range m.ServerUpdate.Changes {
					assert.Equal(t, c, want.Changes[i])
				}
				m.ServerUpdate.Changes, want.Changes = nil, want.Changes[:n:n]
				assert.DeepEqual(t, *m.ServerUpdate, follow.Update{Base: 3, Rev: 900, Age: 5, More: n > 1})
			}
		})
	}
	t.Run("changes are encoded once for all receivers", func(t *testing.T) {
		update := &follow.Update{Changes: manyChanges(250)}
		p := NewPacker()
		encode := func() {
			_, err := p.Update(update)
			assert.NilError(t, err)
		}
		encode()
		assert.Assert(t, testing.AllocsPerRun(20, encode) < 5)
	})
	t.Run("changes that would take too much memory are refused", func(t *testing.T) {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		assert.NilError(t, err)
		_, err = w.Write(make([]byte, 2*maxUnpacked))
		assert.NilError(t, err)
		assert.NilError(t, w.Close())
		_, err = DecodeServerUpdate(appendBytes(nil, updatePacked, b.Bytes()))
		assert.ErrorContains(t, err, "more than")
	})
	t.Run("corrupt changes are refused", func(t *testing.T) {
		_, err := DecodeServerUpdate(appendBytes(nil, updatePacked, []byte("x")))
		assert.Assert(t, err != nil)
	})
}
