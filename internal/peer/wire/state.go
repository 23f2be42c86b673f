package wire

import (
	"math"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
)

// State is one VM's message.
type State struct {
	VM      ident.VM
	Boot    uint64 // of the process; a later one replaces all that was told before
	Seq     uint64 // of the message within its boot
	Part    int    // of the loads: those of parts with the same number belong together
	Loads   map[ident.Server]seats.Load
	Sent    map[ident.Service]retry.Sent // in the window of the retry budget
	Leaving []ident.Server               // servers seen to leave recently
	// Draining are servers that have said themselves that they drain, while their
	// entries may say otherwise.
	Draining []ident.Server
	Version  uint64           // of the settings in force
	Store    hubs.StoreStatus // of its way to the store
	News     *follow.News     // changes of servers; nil: not sent
	// Findings are of requests that crash servers.
	Findings []poison.Finding
	Verdicts uint64 // digest of the VM's verdicts; zero: it has none
	// Limits are the rate limits that servers have stated. Their request counts cover the
	// VM's own requests or, in a hub's answer, those of all VMs but the receiver.
	Limits []rates.Limit

	Capacity hubs.Capacity
	Domain   ident.Domain // of the VM
	Digest   uint64       // of the candidates that the receiver has named; zero: none
	Ask      uint64       // moment of the VM's clock, sent back in the reply; zero: none is wanted
	Reply    *Reply
	Hub      *Hub // in answers to those that report to the VM

	// Seat and Answer are of messages that hold nothing else.
	Seat   *homes.Ask
	Answer *homes.Answer
}

// Reply says at which moment a version of the settings was the newest.
type Reply struct {
	Ask     uint64
	Version uint64
	Age     time.Duration // of that moment, when the reply was made
}

// Field numbers of a message and of a load in it.
const (
	fieldVM      = 1
	fieldBoot    = 2
	fieldSeq     = 3
	fieldLoad    = 4
	fieldLeaving = 5
	fieldSent    = 6
	fieldVersion = 7
	fieldAsks    = 8
	fieldAge     = 9
	fieldNews    = 10
	fieldAsk     = 11
	fieldReply   = 12
	fieldSeat    = 13
	fieldAnswer  = 14
	fieldHub     = 15
	fieldCap     = 16
	fieldDigest  = 17
	fieldPart    = 18
	fieldFinding = 19
	fieldDrain   = 20
	fieldDomain  = 21
	fieldVerdict = 22
	fieldLimit   = 23

	loadServer  = 1
	loadSeats   = 2
	loadTokens  = 3
	loadBacklog = 4
	loadCopies  = 5
	loadSends   = 6

	replyAsk     = 1
	replyVersion = 2
	replyAge     = 3

	sentService = 1
	sentFirst   = 2
	sentAgain   = 3
)

// Encode returns the message.
func (s *State) Encode() []byte {
	b := appendString(nil, fieldVM, string(s.VM))
	b = appendNumber(b, fieldBoot, s.Boot)
	b = appendNumber(b, fieldSeq, s.Seq)
	if s.Part > 0 {
		b = appendNumber(b, fieldPart, uint64(s.Part))
	}
	for id, l := range s.Loads {
		b = appendBytes(b, fieldLoad, encodeLoad(id, l))
	}
	for name, n := range s.Sent {
		b = appendBytes(b, fieldSent, encodeSent(name, n))
	}
	for _, id := range s.Leaving {
		b = appendString(b, fieldLeaving, string(id))
	}
	for _, id := range s.Draining {
		b = appendString(b, fieldDrain, string(id))
	}
	b = appendNumber(b, fieldVersion, s.Version)
	if s.Store.Asks {
		b = appendNumber(b, fieldAsks, 1)
	}
	b = appendNumber(b, fieldAge, uint64(s.Store.Age))
	b = appendNumber(b, fieldCap, uint64(s.Capacity))
	if s.Domain != "" {
		b = appendString(b, fieldDomain, string(s.Domain))
	}
	if s.Digest != 0 {
		b = appendNumber(b, fieldDigest, s.Digest)
	}
	if s.News != nil {
		b = appendBytes(b, fieldNews, EncodeNews(s.News))
	}
	b = s.appendFindings(b, time.Now())
	for _, l := range s.Limits {
		b = appendBytes(b, fieldLimit, encodeLimit(l, time.Now()))
	}
	if s.Ask != 0 {
		b = appendNumber(b, fieldAsk, s.Ask)
	}
	if s.Reply != nil {
		b = appendBytes(b, fieldReply, s.Reply.encode())
	}
	if s.Hub != nil {
		b = appendBytes(b, fieldHub, s.Hub.encode())
	}
	if s.Seat != nil {
		b = appendBytes(b, fieldSeat, encodeSeat(s.Seat))
	}
	if s.Answer != nil {
		b = appendBytes(b, fieldAnswer, encodeAnswer(s.Answer))
	}
	return b
}

func (r *Reply) encode() []byte {
	b := appendNumber(nil, replyAsk, r.Ask)
	b = appendNumber(b, replyVersion, r.Version)
	return appendNumber(b, replyAge, uint64(r.Age))
}

func encodeLoad(id ident.Server, l seats.Load) []byte {
	b := appendString(nil, loadServer, string(id))
	b = appendNumber(b, loadSeats, uint64(l.Seats))
	b = appendNumber(b, loadTokens, uint64(l.Tokens))
	b = appendNumber(b, loadBacklog, uint64(l.Backlog))
	b = appendNumber(b, loadCopies, uint64(l.Copies))
	if l.Sends == 0 {
		return b
	}
	return appendNumber(b, loadSends, uint64(l.Sends))
}

func encodeSent(name ident.Service, n retry.Sent) []byte {
	b := appendString(nil, sentService, string(name))
	b = appendNumber(b, sentFirst, uint64(n.First))
	return appendNumber(b, sentAgain, uint64(n.Again))
}

func appendString(b []byte, n protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

func appendBytes(b []byte, n protowire.Number, p []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), p)
}

func appendNumber(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

// Decode reads a message. Fields it does not know are passed over.
func Decode(b []byte) (*State, error) {
	s := &State{Loads: make(map[ident.Server]seats.Load), Sent: make(map[ident.Service]retry.Sent)}
	err := fields(b, s.take)
	if err == nil && s.VM == "" {
		err = trace.BadParameter("the message names no VM")
	}
	return s, trace.Wrap(err)
}

// take maps one field of a message.
func (s *State) take(n protowire.Number, text []byte, v uint64) error {
	var err error
	switch n {
	case fieldVM:
		s.VM = ident.VM(text)
	case fieldDomain:
		s.Domain = ident.Domain(text)
	case fieldLoad:
		var id ident.Server
		var l seats.Load
		id, l, err = decodeLoad(text)
		s.Loads[id] = l
	case fieldSent:
		var name ident.Service
		var sent retry.Sent
		name, sent, err = decodeSent(text)
		s.Sent[name] = sent
	case fieldLeaving:
		s.Leaving = append(s.Leaving, ident.Server(text))
	case fieldDrain:
		s.Draining = append(s.Draining, ident.Server(text))
	case fieldNews:
		s.News, err = DecodeNews(text)
	case fieldFinding:
		var f poison.Finding
		f, err = decodeFinding(text, time.Now())
		s.Findings = append(s.Findings, f)
	case fieldLimit:
		var l rates.Limit
		l, err = decodeLimit(text, time.Now())
		s.Limits = append(s.Limits, l)
	case fieldReply:
		s.Reply, err = decodeReply(text)
	case fieldHub:
		s.Hub, err = decodeHub(text)
	case fieldSeat:
		s.Seat, err = decodeSeat(s.VM, text)
	case fieldAnswer:
		s.Answer, err = decodeAnswer(text)
	default:
		s.takeNumber(n, v)
	}
	return err
}

// takeNumber maps one field of a message that holds a number.
func (s *State) takeNumber(n protowire.Number, v uint64) {
	switch n {
	case fieldBoot:
		s.Boot = v
	case fieldSeq:
		s.Seq = v
	case fieldPart:
		s.Part = int(min(v, math.MaxInt32))
	case fieldVersion:
		s.Version = v
	case fieldAsks:
		s.Store.Asks = v != 0
	case fieldAge:
		s.Store.Age = time.Duration(v)
	case fieldCap:
		s.Capacity = hubs.Capacity(min(v, math.MaxUint8))
	case fieldDigest:
		s.Digest = v
	case fieldVerdict:
		s.Verdicts = v
	case fieldAsk:
		s.Ask = v
	}
}

func decodeReply(b []byte) (*Reply, error) {
	r := &Reply{}
	err := fields(b, func(n protowire.Number, _ []byte, v uint64) error {
		switch n {
		case replyAsk:
			r.Ask = v
		case replyVersion:
			r.Version = v
		case replyAge:
			r.Age = time.Duration(v)
		}
		return nil
	})
	return r, err
}

func decodeLoad(b []byte) (ident.Server, seats.Load, error) {
	var id ident.Server
	var l seats.Load
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		switch n {
		case loadServer:
			id = ident.Server(text)
		case loadSeats:
			l.Seats = int(v)
		case loadTokens:
			l.Tokens = int(v)
		case loadBacklog:
			l.Backlog = int(v)
		case loadCopies:
			l.Copies = int(v)
		case loadSends:
			l.Sends = int(v)
		}
		return nil
	})
	return id, l, err
}

func decodeSent(b []byte) (ident.Service, retry.Sent, error) {
	var name ident.Service
	var sent retry.Sent
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		switch n {
		case sentService:
			name = ident.Service(text)
		case sentFirst:
			sent.First = int(v)
		case sentAgain:
			sent.Again = int(v)
		}
		return nil
	})
	return name, sent, err
}

// fields calls f for each field of a message, with its text or its number.
func fields(b []byte, f func(n protowire.Number, text []byte, v uint64) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return trace.Wrap(protowire.ParseError(n))
		}
		b = b[n:]
		var text []byte
		var v uint64
		switch typ {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			text, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return trace.Wrap(protowire.ParseError(n))
		}
		b = b[n:]
		if err := f(num, text, v); err != nil {
			return err
		}
	}
	return nil
}
