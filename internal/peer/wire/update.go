package wire

import (
	"math"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// Field numbers of an update of servers and of a change in it.
const (
	updateBase   = 1
	updateRev    = 2
	updateChange = 3
	updateAge    = 4
	updateMore   = 5
	updatePacked = 6 // updateChange fields, compressed
	updateUnseen = 7

	updateHistory = 8 // for how long all versions have been known
	updateGone    = 9
	updatePast    = 10

	goneService = 1
	goneVersion = 2
	goneAgo     = 3

	pastHost     = 1
	pastPrefix   = 2
	pastLifetime = 3
	pastMoved    = 4
	pastAgo      = 5

	changeRev      = 1
	changeServer   = 2
	changeGone     = 3
	changeService  = 4
	changeAddr     = 5
	changeDomain   = 6
	changeSlots    = 7
	changeDraining = 8
	changeGrace    = 9
	changeCold     = 10
	changeVersion  = 11
)

// EncodeServerUpdate encodes an update of servers.
func EncodeServerUpdate(update *follow.Update) []byte {
	return append(encodeUpdateHeader(update), encodeChanges(update.Changes)...)
}

func encodeUpdateHeader(update *follow.Update) []byte {
	b := appendNumber(nil, updateBase, uint64(update.Base))
	b = appendNumber(b, updateRev, uint64(update.Rev))
	b = appendNumber(b, updateAge, uint64(update.Age))
	if update.More {
		b = appendNumber(b, updateMore, 1)
	}
	if update.Unseen != 0 {
		b = appendNumber(b, updateUnseen, uint64(update.Unseen))
	}
	return appendPasts(appendHistory(b, update.History), update.Past)
}

func appendHistory(b []byte, h srvtab.History) []byte {
	if h.Complete > 0 {
		b = appendNumber(b, updateHistory, uint64(h.Complete))
	}
	for _, g := range h.Gone {
		p := appendString(nil, goneService, string(g.Service))
		p = appendString(p, goneVersion, string(g.Version))
		b = appendBytes(b, updateGone, appendNumber(p, goneAgo, uint64(g.Ago)))
	}
	return b
}

func appendPasts(b []byte, list []routes.PathPast) []byte {
	for _, r := range list {
		p := appendString(nil, pastHost, r.Host)
		p = appendString(p, pastPrefix, r.Prefix)
		p = appendNumber(p, pastLifetime, uint64(r.Lifetime))
		if r.Moved {
			p = appendNumber(p, pastMoved, 1)
		}
		b = appendBytes(b, updatePast, appendNumber(p, pastAgo, uint64(r.Ago)))
	}
	return b
}

func encodeChanges(changes []follow.Change) []byte {
	var b []byte
	for _, c := range changes {
		b = appendBytes(b, updateChange, encodeChange(c))
	}
	return b
}

func encodeChange(c follow.Change) []byte {
	b := appendNumber(nil, changeRev, uint64(c.Rev))
	b = appendString(b, changeServer, string(c.Entry.ID))
	if c.Grace > 0 {
		b = appendNumber(b, changeGrace, uint64(c.Grace))
	}
	if c.Gone {
		return appendNumber(b, changeGone, 1)
	}
	b = appendString(b, changeService, string(c.Entry.Service))
	b = appendString(b, changeAddr, c.Entry.Addr.String())
	b = appendString(b, changeDomain, string(c.Entry.Domain))
	b = appendNumber(b, changeSlots, uint64(c.Entry.Slots))
	b = appendString(b, changeVersion, string(c.Entry.Version))
	if c.Entry.Draining {
		b = appendNumber(b, changeDraining, 1)
	}
	if c.Entry.Cold > 0 {
		b = appendNumber(b, changeCold, uint64(c.Entry.Cold))
	}
	return b
}

// DecodeServerUpdate decodes an update of servers.
func DecodeServerUpdate(b []byte) (*follow.Update, error) {
	update := &follow.Update{}
	return update, decodeUpdateFields(update, b)
}

func decodeUpdateFields(update *follow.Update, b []byte) error {
	return forEachField(b, func(num protowire.Number, data []byte, v uint64) error {
		switch num {
		case updateBase:
			update.Base = follow.Revision(v)
		case updateRev:
			update.Rev = follow.Revision(v)
		case updateAge:
			update.Age = time.Duration(v)
		case updateMore:
			update.More = v != 0
		case updateUnseen:
			update.Unseen = follow.Revision(v)
		case updateHistory:
			update.History.Complete = time.Duration(min(v, math.MaxInt64))
		case updateGone:
			g, err := decodeGone(data)
			if err != nil {
				return err
			}
			update.History.Gone = append(update.History.Gone, g)
		case updatePast:
			p, err := decodePast(data)
			if err != nil {
				return err
			}
			update.Past = append(update.Past, p)
		case updateChange:
			c, err := decodeChange(data)
			if err != nil {
				return err
			}
			update.Changes = append(update.Changes, c)
		case updatePacked:
			changes, err := unpackChanges(data)
			if err != nil {
				return err
			}
			update.Changes = append(update.Changes, changes...)
		}
		return nil
	})
}

func decodeGone(b []byte) (srvtab.GoneVersion, error) {
	var g srvtab.GoneVersion
	err := forEachField(b, func(num protowire.Number, data []byte, v uint64) error {
		switch num {
		case goneService:
			g.Service = ident.Service(data)
		case goneVersion:
			g.Version = ident.Version(data)
		case goneAgo:
			g.Ago = time.Duration(min(v, math.MaxInt64))
		}
		return nil
	})
	return g, err
}

func decodePast(b []byte) (routes.PathPast, error) {
	var p routes.PathPast
	err := forEachField(b, func(num protowire.Number, data []byte, v uint64) error {
		switch num {
		case pastHost:
			p.Host = string(data)
		case pastPrefix:
			p.Prefix = string(data)
		case pastLifetime:
			p.Lifetime = time.Duration(min(v, math.MaxInt64))
		case pastMoved:
			p.Moved = v != 0
		case pastAgo:
			p.Ago = time.Duration(min(v, math.MaxInt64))
		}
		return nil
	})
	return p, err
}

func decodeChange(b []byte) (follow.Change, error) {
	var c follow.Change
	e := srvtab.Entry{}
	err := forEachField(b, func(num protowire.Number, data []byte, v uint64) error {
		switch num {
		case changeRev:
			c.Rev = follow.Revision(v)
		case changeServer:
			e.ID = ident.Server(data)
		case changeGone:
			c.Gone = v != 0
		case changeService:
			e.Service = ident.Service(data)
		case changeAddr:
			addr, err := netip.ParseAddrPort(string(data))
			if err != nil {
				return trace.Wrap(err)
			}
			e.Addr = addr
		case changeDomain:
			e.Domain = ident.FailureDomain(data)
		case changeVersion:
			e.Version = ident.Version(data)
		case changeSlots:
			e.Slots = int(v)
		case changeCold:
			e.Cold = time.Duration(min(v, math.MaxInt64))
		case changeGrace:
			c.Grace = time.Duration(v)
		case changeDraining:
			e.Draining = v != 0
		}
		return nil
	})
	c.Entry = e
	return c, err
}
