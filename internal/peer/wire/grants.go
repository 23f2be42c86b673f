package wire

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

// requestReportsGrants is the field number, in a placement request, of whether the VM's reports
// state the grants that it has received.
const requestReportsGrants = 28

// appendGrants appends ascending numbers, if there are any, as the differences between them,
// which take one or two bytes each instead of nine.
func appendGrants(b []byte, n protowire.Number, ids []uint64) []byte {
	if len(ids) == 0 {
		return b
	}
	var list []byte
	last := uint64(0)
	for _, id := range ids {
		list = protowire.AppendVarint(list, id-last)
		last = id
	}
	return appendBytes(b, n, list)
}

// decodeGrants returns numbers in ascending order.
func decodeGrants(b []byte) ([]uint64, error) {
	var ids []uint64
	last := uint64(0)
	for len(b) > 0 {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, trace.Wrap(protowire.ParseError(n))
		}
		if last+v < last {
			return nil, trace.BadParameter("the grants are not in ascending order")
		}
		last += v
		ids, b = append(ids, last), b[n:]
	}
	return ids, nil
}
