package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/origin"
)

// Field numbers of the origin of a stream, of a query for it and of the answer.
const (
	originStream  = 1
	originService = 2
	originVersion = 3
	originTTL     = 4

	originQueryID       = 1
	originQueryStream   = 2
	originQueryService  = 3
	originQueryLifetime = 4

	originAnswerID      = 1
	originAnswerRecord  = 2
	originAnswerOnly    = 3
	originAnswerSeveral = 4
)

// maxDatagramOrigins is the number of origins in one message. Each takes some 40 bytes.
const maxDatagramOrigins = 500

// SplitOrigins divides a list of origins into lists that fit into a message each.
func SplitOrigins(list []origin.Record) [][]origin.Record {
	var out [][]origin.Record
	for len(list) > maxDatagramOrigins {
		out, list = append(out, list[:maxDatagramOrigins]), list[maxDatagramOrigins:]
	}
	return append(out, list)
}

// appendOrigins appends what the message holds of the origins of streams.
func (m *Message) appendOrigins(b []byte) []byte {
	for _, r := range m.Origins {
		b = appendBytes(b, fieldOrigin, encodeOrigin(r))
	}
	if q := m.OriginQuery; q != nil {
		p := appendNumber(nil, originQueryID, q.ID)
		p = appendFixed(p, originQueryStream, uint64(q.Stream))
		p = appendString(p, originQueryService, string(q.Service))
		b = appendBytes(b, fieldOriginQuery, appendNumber(p, originQueryLifetime, uint64(q.Lifetime)))
	}
	if a := m.OriginAnswer; a != nil {
		p := appendNumber(nil, originAnswerID, a.ID)
		if a.Record != nil {
			p = appendBytes(p, originAnswerRecord, encodeOrigin(*a.Record))
		}
		if a.Only != "" {
			p = appendString(p, originAnswerOnly, string(a.Only))
		}
		if a.Several {
			p = appendNumber(p, originAnswerSeveral, 1)
		}
		b = appendBytes(b, fieldOriginAnswer, p)
	}
	return b
}

func encodeOrigin(r origin.Record) []byte {
	b := appendFixed(nil, originStream, uint64(r.Stream))
	b = appendString(b, originService, string(r.Service))
	b = appendString(b, originVersion, string(r.Version))
	return appendNumber(b, originTTL, uint64(r.TTL))
}

// appendFixed appends a number that is as likely to be large as to be small.
func appendFixed(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), v)
}

// setOrigin decodes a field about the origins of streams.
func (m *Message) setOrigin(n protowire.Number, data []byte) error {
	var err error
	switch n {
	case fieldOrigin:
		var r origin.Record
		r, err = decodeOrigin(data)
		m.Origins = append(m.Origins, r)
	case fieldOriginQuery:
		m.OriginQuery, err = decodeOriginQuery(data)
	case fieldOriginAnswer:
		m.OriginAnswer, err = decodeOriginAnswer(m.VM, data)
	}
	return err
}

func decodeOrigin(b []byte) (origin.Record, error) {
	var r origin.Record
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case originStream:
			r.Stream = origin.Stream(v)
		case originService:
			r.Service = ident.Service(data)
		case originVersion:
			r.Version = ident.Version(data)
		case originTTL:
			r.TTL = time.Duration(min(v, math.MaxInt64))
		}
		return nil
	})
	return r, err
}

func decodeOriginQuery(b []byte) (*origin.Query, error) {
	q := &origin.Query{}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case originQueryID:
			q.ID = v
		case originQueryStream:
			q.Stream = origin.Stream(v)
		case originQueryService:
			q.Service = ident.Service(data)
		case originQueryLifetime:
			q.Lifetime = time.Duration(min(v, math.MaxInt64))
		}
		return nil
	})
	return q, err
}

func decodeOriginAnswer(vm ident.VM, b []byte) (*origin.Answer, error) {
	a := &origin.Answer{VM: vm}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case originAnswerID:
			a.ID = v
		case originAnswerRecord:
			r, err := decodeOrigin(data)
			a.Record = &r
			return err
		case originAnswerOnly:
			a.Only = ident.Version(data)
		case originAnswerSeveral:
			a.Several = v != 0
		}
		return nil
	})
	return a, err
}
