package wire

import (
	"math"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/reject"
	"umberladder/internal/policy/retry"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/coord"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/srvtab"
)

// Message is a message of one VM to another.
type Message struct {
	VM       ident.VM
	Instance uint64 // increases with each instance of the VM's process; a higher one invalidates all earlier messages
	Seq      uint64 // number of the message within its instance
	Part     int    // number of the part of the loads; parts with the same Instance and Seq belong together
	Loads    map[ident.Server]alloc.Load
	// Grants are the IDs, in ascending order, of the VM's placement requests whose grants for
	// brief calls it has received recently. Loads include these calls if they have not ended.
	Grants   []uint64
	Attempts map[ident.Service]retry.Attempts // in the window of the retry budget
	Retired  []ident.Server                   // servers that were found to be retired recently
	// Draining are the servers that have announced that they drain. Their entries in the
	// store may not say so yet.
	Draining        []ident.Server
	SettingsVersion uint64           // of the settings in force
	Store           hubs.StoreStatus // the VM's connection to the store
	ServerUpdate    *follow.Update   // changes of servers; nil: none sent
	// PackedUpdate is ServerUpdate as encoded by a Packer. It is sent in its place.
	PackedUpdate []byte
	// ServersRev is the revision of the servers that the VM knows; zero: it does not know
	// all of them. ServersRevKnown is false in messages of VMs that do not report it.
	ServersRev      follow.Revision
	ServersRevKnown bool
	// Findings are what the VM knows of requests that crash the servers that run them.
	Findings         []poison.Finding
	QuarantineDigest uint64 // of the VM's quarantine decisions; zero: it has none
	// Limits are the rate limits that servers have announced. Their request counts cover
	// the VM's own requests or, in a hub's response, those of all VMs but the receiver.
	Limits []rates.Limit
	// Evacuations are the failure domains that operators have evacuated.
	Evacuations srvtab.Evacuations
	Isolated    bool // the VM reaches no backend server over its own links
	// Brittle are the services whose servers fail if they reject too many requests.
	Brittle []reject.Limit
	// Timings are the response times of plain servers at the VM in the last timing.Window.
	Timings map[ident.Server]timing.Stats

	Capacity        hubs.Capacity
	Domain          ident.FailureDomain // of the VM
	CandidateDigest uint64              // of the candidates that the receiver has listed; zero: none
	RequestTime     uint64              // by the VM's clock, returned in the reply; zero: no reply is requested
	Reply           *VersionReply
	Hub             *HubResponse // in responses to VMs that report to this one

	// A message with one of the following holds nothing else.
	PlacementRequest  *coord.Request
	PlacementResponse *coord.Response
	Origins           []origin.Record
	OriginQuery       *origin.Query
	OriginAnswer      *origin.Answer
}

// VersionReply reports a settings version and when it was last known to be the newest.
type VersionReply struct {
	RequestTime uint64 // request time of the report, by the requester's clock
	Version     uint64
	Age         time.Duration // time since then, when the reply was made
}

// Field numbers of a message and of the messages nested in it.
const (
	fieldVM                = 1
	fieldBoot              = 2
	fieldSeq               = 3
	fieldLoad              = 4
	fieldRetired           = 5
	fieldAttempts          = 6
	fieldSettingsVersion   = 7
	fieldWatching          = 8
	fieldServersAge        = 9
	fieldServerUpdate      = 10
	fieldRequestTime       = 11
	fieldVersionReply      = 12
	fieldPlacementRequest  = 13
	fieldPlacementResponse = 14
	fieldHub               = 15
	fieldCapacity          = 16
	fieldCandidateDigest   = 17
	fieldPart              = 18
	fieldFinding           = 19
	fieldDraining          = 20
	fieldDomain            = 21
	fieldQuarantineDigest  = 22
	fieldLimit             = 23
	fieldEvacuations       = 24
	fieldServersRev        = 25 // plus one
	fieldIsolated          = 26
	fieldBrittle           = 27
	fieldOrigin            = 28
	fieldOriginQuery       = 29
	fieldOriginAnswer      = 30
	fieldTiming            = 31
	fieldGrants            = 32

	loadServer    = 1
	loadCalls     = 2
	loadTokens    = 3
	loadBacklog   = 4
	loadCopiesIn  = 5
	loadCopiesOut = 6
	loadFailures  = 7

	replyRequestTime = 1
	replyVersion     = 2
	replyAge         = 3

	attemptsService = 1
	attemptsFirst   = 2
	attemptsRetries = 3

	evacuationsRev    = 1
	evacuationsDomain = 2
)

// Encode encodes the message.
func (m *Message) Encode() []byte {
	b := appendString(nil, fieldVM, string(m.VM))
	b = appendNumber(b, fieldBoot, m.Instance)
	b = appendNumber(b, fieldSeq, m.Seq)
	if m.Part > 0 {
		b = appendNumber(b, fieldPart, uint64(m.Part))
	}
	for id, l := range m.Loads {
		b = appendBytes(b, fieldLoad, encodeLoad(id, l))
	}
	b = appendGrants(b, fieldGrants, m.Grants)
	for name, attempts := range m.Attempts {
		b = appendBytes(b, fieldAttempts, encodeAttempts(name, attempts))
	}
	for _, id := range m.Retired {
		b = appendString(b, fieldRetired, string(id))
	}
	for _, id := range m.Draining {
		b = appendString(b, fieldDraining, string(id))
	}
	b = appendNumber(b, fieldSettingsVersion, m.SettingsVersion)
	if m.Store.Watching {
		b = appendNumber(b, fieldWatching, 1)
	}
	if m.Isolated {
		b = appendNumber(b, fieldIsolated, 1)
	}
	b = appendNumber(b, fieldServersAge, uint64(m.Store.Age))
	b = appendNumber(b, fieldCapacity, uint64(m.Capacity))
	if m.Domain != "" {
		b = appendString(b, fieldDomain, string(m.Domain))
	}
	if m.CandidateDigest != 0 {
		b = appendNumber(b, fieldCandidateDigest, m.CandidateDigest)
	}
	if m.ServersRevKnown {
		b = appendNumber(b, fieldServersRev, uint64(m.ServersRev)+1)
	}
	if m.PackedUpdate != nil {
		b = appendBytes(b, fieldServerUpdate, m.PackedUpdate)
	} else if m.ServerUpdate != nil {
		b = appendBytes(b, fieldServerUpdate, EncodeServerUpdate(m.ServerUpdate))
	}
	b = m.appendFindings(b, time.Now())
	for _, l := range m.Limits {
		b = appendBytes(b, fieldLimit, encodeLimit(l, time.Now()))
	}
	for _, l := range m.Brittle {
		b = appendBytes(b, fieldBrittle, encodeRejectLimit(l, time.Now()))
	}
	b = appendTimings(b, fieldTiming, m.Timings)
	if m.Evacuations.Rev != 0 {
		b = appendBytes(b, fieldEvacuations, encodeEvacuations(m.Evacuations))
	}
	return m.appendExchange(b)
}

// appendExchange appends what belongs to one exchange between two VMs.
func (m *Message) appendExchange(b []byte) []byte {
	if m.RequestTime != 0 {
		b = appendNumber(b, fieldRequestTime, m.RequestTime)
	}
	if m.Reply != nil {
		b = appendBytes(b, fieldVersionReply, m.Reply.encode())
	}
	if m.Hub != nil {
		b = appendBytes(b, fieldHub, m.Hub.encode())
	}
	if m.PlacementRequest != nil {
		b = appendBytes(b, fieldPlacementRequest, encodePlacementRequest(m.PlacementRequest))
	}
	if m.PlacementResponse != nil {
		b = appendBytes(b, fieldPlacementResponse, encodePlacementResponse(m.PlacementResponse))
	}
	return m.appendOrigins(b)
}

func (r *VersionReply) encode() []byte {
	b := appendNumber(nil, replyRequestTime, r.RequestTime)
	b = appendNumber(b, replyVersion, r.Version)
	return appendNumber(b, replyAge, uint64(r.Age))
}

func encodeLoad(id ident.Server, l alloc.Load) []byte {
	b := appendString(nil, loadServer, string(id))
	b = appendNumber(b, loadCalls, uint64(l.Calls))
	b = appendNumber(b, loadTokens, uint64(l.Tokens))
	b = appendNumber(b, loadBacklog, uint64(l.Backlog))
	b = appendNumber(b, loadCopiesIn, uint64(l.CopiesIn))
	if l.CopiesOut > 0 {
		b = appendNumber(b, loadCopiesOut, uint64(l.CopiesOut))
	}
	if l.Failures > 0 {
		b = appendNumber(b, loadFailures, uint64(l.Failures))
	}
	return appendPace(b, l)
}

func encodeAttempts(name ident.Service, attempts retry.Attempts) []byte {
	b := appendString(nil, attemptsService, string(name))
	b = appendNumber(b, attemptsFirst, uint64(attempts.First))
	return appendNumber(b, attemptsRetries, uint64(attempts.Retries))
}

func encodeEvacuations(e srvtab.Evacuations) []byte {
	b := appendNumber(nil, evacuationsRev, e.Rev)
	for _, d := range e.Domains {
		b = appendString(b, evacuationsDomain, string(d))
	}
	return b
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

// Decode decodes a message. It ignores unknown fields.
func Decode(b []byte) (*Message, error) {
	m := &Message{Loads: make(map[ident.Server]alloc.Load), Attempts: make(map[ident.Service]retry.Attempts)}
	err := forEachField(b, m.setField)
	if err == nil && m.VM == "" {
		err = trace.BadParameter("the message names no VM")
	}
	return m, trace.Wrap(err)
}

// setField decodes one field of a message.
func (m *Message) setField(n protowire.Number, data []byte, v uint64) error {
	var err error
	switch n {
	case fieldVM:
		m.VM = ident.VM(data)
	case fieldDomain:
		m.Domain = ident.FailureDomain(data)
	case fieldLoad:
		var id ident.Server
		var l alloc.Load
		id, l, err = decodeLoad(data)
		m.Loads[id] = l
	case fieldAttempts:
		var name ident.Service
		var attempts retry.Attempts
		name, attempts, err = decodeAttempts(data)
		m.Attempts[name] = attempts
	case fieldRetired:
		m.Retired = append(m.Retired, ident.Server(data))
	case fieldDraining:
		m.Draining = append(m.Draining, ident.Server(data))
	case fieldServerUpdate:
		m.ServerUpdate, err = DecodeServerUpdate(data)
	case fieldFinding:
		var f poison.Finding
		f, err = decodeFinding(data, time.Now())
		m.Findings = append(m.Findings, f)
	case fieldLimit, fieldBrittle, fieldTiming:
		err = m.addServerState(n, data)
	case fieldEvacuations:
		m.Evacuations, err = decodeEvacuations(data)
	case fieldVersionReply:
		m.Reply, err = decodeReply(data)
	case fieldHub:
		m.Hub, err = decodeHub(data)
	case fieldPlacementRequest, fieldPlacementResponse, fieldGrants:
		err = m.setPlacement(n, data)
	case fieldOrigin, fieldOriginQuery, fieldOriginAnswer:
		err = m.setOrigin(n, data)
	default:
		m.setNumber(n, v)
	}
	return err
}

// setPlacement decodes a field about the placement of a run.
func (m *Message) setPlacement(n protowire.Number, data []byte) error {
	var err error
	switch n {
	case fieldGrants:
		m.Grants, err = decodeGrants(data)
	case fieldPlacementRequest:
		m.PlacementRequest, err = decodePlacementRequest(m.VM, data)
	default:
		m.PlacementResponse, err = decodePlacementResponse(data)
	}
	return err
}

// addServerState decodes and adds a limit that servers have stated, or the response times of
// a server.
func (m *Message) addServerState(n protowire.Number, data []byte) error {
	switch n {
	case fieldTiming:
		return addTiming(&m.Timings, data)
	case fieldBrittle:
		l, err := decodeRejectLimit(data, time.Now())
		m.Brittle = append(m.Brittle, l)
		return err
	default:
		l, err := decodeLimit(data, time.Now())
		m.Limits = append(m.Limits, l)
		return err
	}
}

// setNumber sets one numeric field of a message.
func (m *Message) setNumber(n protowire.Number, v uint64) {
	switch n {
	case fieldBoot:
		m.Instance = v
	case fieldSeq:
		m.Seq = v
	case fieldPart:
		m.Part = int(min(v, math.MaxInt32))
	case fieldSettingsVersion:
		m.SettingsVersion = v
	case fieldWatching:
		m.Store.Watching = v != 0
	case fieldIsolated:
		m.Isolated = v != 0
	case fieldServersAge:
		m.Store.Age = time.Duration(v)
	case fieldCapacity:
		m.Capacity = hubs.Capacity(min(v, math.MaxUint8))
	case fieldCandidateDigest:
		m.CandidateDigest = v
	case fieldQuarantineDigest:
		m.QuarantineDigest = v
	case fieldRequestTime:
		m.RequestTime = v
	case fieldServersRev:
		m.ServersRev, m.ServersRevKnown = follow.Revision(v-1), v > 0
	}
}

func decodeReply(b []byte) (*VersionReply, error) {
	r := &VersionReply{}
	err := forEachField(b, func(n protowire.Number, _ []byte, v uint64) error {
		switch n {
		case replyRequestTime:
			r.RequestTime = v
		case replyVersion:
			r.Version = v
		case replyAge:
			r.Age = time.Duration(v)
		}
		return nil
	})
	return r, err
}

func decodeLoad(b []byte) (ident.Server, alloc.Load, error) {
	var id ident.Server
	var l alloc.Load
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case loadServer:
			id = ident.Server(data)
		case loadCalls:
			l.Calls = int(v)
		case loadTokens:
			l.Tokens = int(v)
		case loadBacklog:
			l.Backlog = int(v)
		case loadCopiesIn:
			l.CopiesIn = int(v)
		case loadCopiesOut:
			l.CopiesOut = int(v)
		case loadFailures:
			l.Failures = int(v)
		default:
			setPace(&l, n, v)
		}
		return nil
	})
	return id, l, err
}

func decodeAttempts(b []byte) (ident.Service, retry.Attempts, error) {
	var name ident.Service
	var attempts retry.Attempts
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case attemptsService:
			name = ident.Service(data)
		case attemptsFirst:
			attempts.First = int(v)
		case attemptsRetries:
			attempts.Retries = int(v)
		}
		return nil
	})
	return name, attempts, err
}

func decodeEvacuations(b []byte) (srvtab.Evacuations, error) {
	var rev uint64
	var domains []ident.FailureDomain
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case evacuationsRev:
			rev = v
		case evacuationsDomain:
			domains = append(domains, ident.FailureDomain(data))
		}
		return nil
	})
	return srvtab.NewEvacuations(rev, domains), err
}

// forEachField calls f for each field of an encoded message, with its bytes or its number.
func forEachField(b []byte, f func(n protowire.Number, data []byte, v uint64) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return trace.Wrap(protowire.ParseError(n))
		}
		b = b[n:]
		var data []byte
		var v uint64
		switch typ {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			data, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return trace.Wrap(protowire.ParseError(n))
		}
		b = b[n:]
		if err := f(num, data, v); err != nil {
			return err
		}
	}
	return nil
}
