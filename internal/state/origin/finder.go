package origin

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/srvtab"
)

const (
	// copies is the number of other VMs that get a record. If half of the VMs are lost at
	// once, seven records in eight survive.
	copies = 3
	// maxDataAge is the age of the data on servers up to which no other VM is assumed to know
	// of a version that this one does not know.
	maxDataAge = time.Second
	// findTimeout bounds the time that other VMs have to respond, and retryInterval is the time
	// after which those that have not are asked again, as datagrams may be lost.
	findTimeout   = 90 * time.Millisecond
	retryInterval = 30 * time.Millisecond
	// checkInterval is how often a VM checks whether its data on servers are still current.
	checkInterval = 250 * time.Millisecond
)

// ErrUnknown is returned if which version began a stream can't be determined.
var ErrUnknown = errors.New("origin: the version that began the stream is not known")

// ErrUnanswered is an ErrUnknown of which another VM may know more: some did not respond, or
// none is known.
var ErrUnanswered = &unansweredError{}

type unansweredError struct{}

func (*unansweredError) Error() string { return "origin: other VMs did not respond" }

// Is reports whether target is ErrUnknown.
func (*unansweredError) Is(target error) bool { return target == ErrUnknown }

// Source says where the origin of a stream was found.
type Source string

// The sources.
const (
	FromOwnRecord   Source = "own-record"
	FromPeerRecord  Source = "peer-record"
	FromOnlyVersion Source = "only-version" // the service's servers have run no other version
)

// Origin says what began a stream.
type Origin struct {
	Service ident.Service
	Version ident.Version
	Source  Source
	VM      ident.VM // that had the record; empty: this one
}

// Query asks another VM for the origin of a stream.
type Query struct {
	ID       uint64 // unique among the queries of the VM
	Stream   Stream
	Service  ident.Service
	Lifetime time.Duration // the stream began at most this long ago
}

// Answer is the answer to a Query.
type Answer struct {
	ID     uint64
	VM     ident.VM
	Record *Record // nil: the VM has none
	// Only is the only version that servers of the service have run within the lifetime; empty:
	// there are several, or it is not known.
	Only    ident.Version
	Several bool // there are several
}

// Transport sends messages to other VMs.
type Transport interface {
	SendRecords(to netip.AddrPort, list []Record)
	SendQuery(to netip.AddrPort, q Query)
}

// Deps are the dependencies of a Finder.
type Deps struct {
	VM        ident.VM
	Servers   *srvtab.Table
	DataAge   func() time.Duration                 // time since the servers' versions were known to be current
	Holders   func(now time.Time) []hubs.Candidate // other VMs that hold records
	Moved     <-chan struct{}                      // receives a value when a route begins to lead to other services
	Transport Transport
	Log       *zap.Logger
}

// Finder records the origins of streams, and finds them. It is safe for concurrent use.
type Finder struct {
	Deps
	records *records

	mu      sync.Mutex
	lastID  uint64
	queries map[uint64]chan Answer
}

// New returns a Finder without records. Query IDs start after instance, which identifies the
// instance of this VM.
func New(instance uint64, d Deps) *Finder {
	return &Finder{Deps: d, records: newRecords(), lastID: instance, queries: make(map[uint64]chan Answer)}
}

// Len returns the number of records that this VM keeps, of its own streams and of others'.
func (f *Finder) Len() int { return f.records.len() }

// Began records that the first event of a stream is about to be forwarded. Nothing is recorded of an
// unknown stream. recordOnly says that nothing but the record will show the origin, whatever the
// versions are.
func (f *Finder) Began(rec Record, recordOnly bool) {
	if rec.Stream == 0 {
		return
	}
	now := time.Now()
	needed := recordOnly || f.needsRecords(rec.Service, rec.TTL, now)
	f.records.put(rec, needed, now)
	if needed {
		f.send([]Record{rec}, now)
	}
}

// Completed drops the record of a stream that its client does not take up any more.
func (f *Finder) Completed(s Stream) { f.records.remove(s) }

// versionsWithin returns the versions that servers of a service have run within a time, as far as
// this VM knows them, and whether they are all.
func (f *Finder) versionsWithin(s ident.Service, within time.Duration, now time.Time) (versions []ident.Version, known bool) {
	versions, known = f.Servers.View().VersionsSince(s, now.Add(-within))
	return versions, known && f.isCurrent()
}

// needsRecords reports whether other VMs need the records of a service's streams that began within
// a time: servers run, or ran within it, more than one version, or may do so or have done so without
// this VM's knowledge.
func (f *Finder) needsRecords(s ident.Service, within time.Duration, now time.Time) bool {
	versions, known := f.versionsWithin(s, within, now)
	return len(versions) > 1 || !known
}

func (f *Finder) isCurrent() bool { return f.DataAge() < maxDataAge }

// Run sends the records of streams under way once other VMs need them, until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		needed := f.needsRecords
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if f.isCurrent() {
				continue
			}
		case <-f.Servers.Diverged():
		case <-f.Moved:
			needed = func(ident.Service, time.Duration, time.Time) bool { return true }
		}
		now := time.Now()
		if len(f.Holders(now)) == 0 {
			continue
		}
		list := f.records.takeUnsent(func(s ident.Service, age time.Duration) bool { return needed(s, age, now) }, now)
		if len(list) > 0 {
			f.Log.Info("origins of streams sent", zap.Int("streams", len(list)))
			f.send(list, now)
		}
	}
}

// send sends records to the VMs that hold them.
func (f *Finder) send(list []Record, now time.Time) {
	holders := f.Holders(now)
	batches := make(map[netip.AddrPort][]Record, len(holders))
	for _, rec := range list {
		for _, c := range choose(rec.Stream, holders) {
			batches[c.Addr] = append(batches[c.Addr], rec)
		}
	}
	for addr, batch := range batches {
		f.Transport.SendRecords(addr, batch)
	}
}

// choose returns the VMs that hold the record of a stream: some of them, in other failure domains
// than each other as far as possible.
func choose(s Stream, holders []hubs.Candidate) []hubs.Candidate {
	if len(holders) <= copies {
		return holders
	}
	rank := func(c hubs.Candidate) uint64 { return xxhash.Sum64String(string(c.VM)) * (uint64(s) | 1) }
	ordered := slices.SortedFunc(slices.Values(holders), func(a, b hubs.Candidate) int { return cmp.Compare(rank(a), rank(b)) })
	var out, rest []hubs.Candidate
	for _, c := range ordered {
		if slices.ContainsFunc(out, func(o hubs.Candidate) bool { return o.Domain == c.Domain }) {
			rest = append(rest, c)
			continue
		}
		out = append(out, c)
	}
	return append(out, rest...)[:copies]
}

// HandleRecords keeps records from another VM.
func (f *Finder) HandleRecords(list []Record) {
	now := time.Now()
	for _, rec := range list {
		f.records.put(rec, true, now)
	}
}

// Answer answers another VM's query.
func (f *Finder) Answer(q Query) Answer {
	now := time.Now()
	a := Answer{ID: q.ID, VM: f.VM}
	a.Only, a.Several = f.onlyVersion(q, now)
	if rec, ok := f.records.get(q.Stream, now); ok {
		a.Record = &rec
	}
	return a
}

// onlyVersion returns the only version that servers of a service have run within the lifetime of
// a stream, or whether there are several. It returns neither if that is not known.
func (f *Finder) onlyVersion(q Query, now time.Time) (only ident.Version, several bool) {
	versions, known := f.versionsWithin(q.Service, q.Lifetime, now)
	if len(versions) == 1 && known {
		only = versions[0]
	}
	return only, len(versions) > 1
}

// HandleAnswer handles the answer to a query of this VM.
func (f *Finder) HandleAnswer(a Answer) {
	f.mu.Lock()
	ch := f.queries[a.ID]
	f.mu.Unlock()
	select {
	case ch <- a:
	default:
		// The search has ended, or the answer was repeated.
	}
}

// Find returns what began a stream, at most lifetime ago. service is the one to which its route
// has led since; if it is empty, only a record shows the origin. The error is an ErrUnknown.
func (f *Finder) Find(ctx context.Context, s Stream, service ident.Service, lifetime time.Duration) (Origin, error) {
	now := time.Now()
	if rec, ok := f.records.get(s, now); ok {
		return Origin{Service: rec.Service, Version: rec.Version, Source: FromOwnRecord}, nil
	}
	q := Query{Stream: s, Service: service, Lifetime: lifetime}
	if v, _ := f.onlyVersion(q, now); v != "" {
		return Origin{Service: service, Version: v, Source: FromOnlyVersion}, nil
	}
	return f.ask(ctx, q)
}

// ask asks the other VMs that hold records.
func (f *Finder) ask(ctx context.Context, q Query) (Origin, error) {
	holders := f.Holders(time.Now())
	ch := make(chan Answer, 2*len(holders))
	f.mu.Lock()
	f.lastID++
	q.ID = f.lastID
	f.queries[q.ID] = ch
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.queries, q.ID)
	}()
	answers := make(map[ident.VM]Answer, len(holders))
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for len(answers) < len(holders) && ctx.Err() == nil {
		for _, c := range holders {
			if _, ok := answers[c.VM]; !ok {
				f.Transport.SendQuery(c.Addr, q)
			}
		}
		if o, ok := collect(ctx, ch, answers, len(holders)); ok {
			return o, nil
		}
	}
	return f.conclude(q, answers, len(holders))
}

// contradicts reports whether this VM knows of another version than the given one that servers may
// have run within the lifetime of a stream.
func (f *Finder) contradicts(q Query, only ident.Version) bool {
	if f.DataAge() > q.Lifetime {
		return false
	}
	versions, _ := f.versionsWithin(q.Service, q.Lifetime, time.Now())
	return slices.ContainsFunc(versions, func(v ident.Version) bool { return v != only && v != "" })
}

// collect adds the answers that arrive within retryInterval to answers, and returns the origin
// once one of them has its record.
func collect(ctx context.Context, ch <-chan Answer, answers map[ident.VM]Answer, want int) (Origin, bool) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	for len(answers) < want {
		select {
		case a := <-ch:
			answers[a.VM] = a
			if r := a.Record; r != nil {
				return Origin{Service: r.Service, Version: r.Version, Source: FromPeerRecord, VM: a.VM}, true
			}
		case <-timer.C:
			return Origin{}, false
		case <-ctx.Done():
			return Origin{}, false
		}
	}
	return Origin{}, false
}

// conclude returns the origin of a stream of which no other VM has a record. All versions that any
// VM knows must be the same.
func (f *Finder) conclude(q Query, answers map[ident.VM]Answer, asked int) (Origin, error) {
	o := Origin{Service: q.Service, Source: FromOnlyVersion}
	only, several := f.onlyVersion(q, time.Now())
	o.Version = only
	for _, a := range answers {
		several = several || a.Several || a.Only != "" && o.Version != "" && a.Only != o.Version
		if a.Only != "" {
			o.Version, o.VM = a.Only, a.VM
		}
	}
	several = several || o.Version != "" && f.contradicts(q, o.Version)
	switch {
	case o.Version != "" && !several:
		return o, nil
	case len(answers) < asked || asked == 0:
		return Origin{}, ErrUnanswered
	default:
		return Origin{}, ErrUnknown
	}
}
