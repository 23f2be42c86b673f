package wire

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/follow"
)

// Field numbers of news and of a change in them.
const (
	newsBase   = 1
	newsRev    = 2
	newsChange = 3
	newsAge    = 4

	changeRev     = 1
	changeServer  = 2
	changeGone    = 3
	changeService = 4
	changeAddr    = 5
	changeDomain  = 6
	changeSlots   = 7
	changeLeaving = 8
	changeLapse   = 9
)

// EncodeNews returns news as a message.
func EncodeNews(n *follow.News) []byte {
	b := appendNumber(nil, newsBase, uint64(n.Base))
	b = appendNumber(b, newsRev, uint64(n.Rev))
	b = appendNumber(b, newsAge, uint64(n.Age))
	for _, c := range n.Changes {
		b = appendBytes(b, newsChange, encodeChange(c))
	}
	return b
}

func encodeChange(c follow.Change) []byte {
	b := appendNumber(nil, changeRev, uint64(c.Rev))
	b = appendString(b, changeServer, string(c.Entry.ID))
	if c.Lapse > 0 {
		b = appendNumber(b, changeLapse, uint64(c.Lapse))
	}
	if c.Gone {
		return appendNumber(b, changeGone, 1)
	}
	b = appendString(b, changeService, string(c.Entry.Service))
	b = appendString(b, changeAddr, c.Entry.Addr.String())
	b = appendString(b, changeDomain, string(c.Entry.Domain))
	b = appendNumber(b, changeSlots, uint64(c.Entry.Slots))
	if c.Entry.Leaving {
		b = appendNumber(b, changeLeaving, 1)
	}
	return b
}

// DecodeNews reads news.
func DecodeNews(b []byte) (*follow.News, error) {
	n := &follow.News{}
	err := fields(b, func(num protowire.Number, text []byte, v uint64) error {
		switch num {
		case newsBase:
			n.Base = follow.Revision(v)
		case newsRev:
			n.Rev = follow.Revision(v)
		case newsAge:
			n.Age = time.Duration(v)
		case newsChange:
			c, err := decodeChange(text)
			if err != nil {
				return err
			}
			n.Changes = append(n.Changes, c)
		}
		return nil
	})
	return n, err
}

func decodeChange(b []byte) (follow.Change, error) {
	var c follow.Change
	e := backs.Entry{}
	err := fields(b, func(num protowire.Number, text []byte, v uint64) error {
		switch num {
		case changeRev:
			c.Rev = follow.Revision(v)
		case changeServer:
			e.ID = ident.Server(text)
		case changeGone:
			c.Gone = v != 0
		case changeService:
			e.Service = ident.Service(text)
		case changeAddr:
			addr, err := netip.ParseAddrPort(string(text))
			if err != nil {
				return trace.Wrap(err)
			}
			e.Addr = addr
		case changeDomain:
			e.Domain = ident.Domain(text)
		case changeSlots:
			e.Slots = int(v)
		case changeLapse:
			c.Lapse = time.Duration(v)
		case changeLeaving:
			e.Leaving = v != 0
		}
		return nil
	})
	c.Entry = e
	return c, err
}
