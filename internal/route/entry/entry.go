package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/final"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/seal"
	"umberladder/internal/peer/caller"
	"umberladder/internal/route/gate"
	"umberladder/internal/route/gener"
	"umberladder/internal/route/plain"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
)

const (
	// prefixHead is how much of a prompt decides which engine's cache it is
	// likely to be in, in bytes.
	prefixHead = 256
	// bytesPerToken is the usual ratio for English text; engines count the
	// prompt themselves, this only sizes it before it is sent.
	bytesPerToken = 4
	// lastTokens is how long streams whose callers left may take to end.
	lastTokens = 3 * time.Second
)

// Settings is where the snapshot in force is read.
type Settings interface {
	Load() *config.Snapshot
}

// Entry serves callers. It is safe for use by several goroutines.
type Entry struct {
	vm       ident.VM
	settings Settings
	gate     *gate.Gate
	claims   Claims
	placers  func(ident.Model) (gener.Placer, bool)
	runner   *gener.Runner
	plain    *plain.Router
	ring     *seal.Ring
	book     *invar.Book
	rec      final.Recorder
	joined   atomic.Bool
	draining atomic.Bool
	pending  atomic.Int64 // requests begun and not recorded as ended
}

// Parts are what an entry is made of.
type Parts struct {
	VM       ident.VM
	Settings Settings
	Gate     *gate.Gate
	Claims   Claims
	Placers  func(ident.Model) (gener.Placer, bool)
	Runner   *gener.Runner
	Plain    *plain.Router
	Ring     *seal.Ring
	Book     *invar.Book
	Recorder final.Recorder
}

// New makes an entry.
func New(p Parts) *Entry {
	return &Entry{
		vm:       p.VM,
		settings: p.Settings,
		gate:     p.Gate,
		claims:   p.Claims,
		placers:  p.Placers,
		runner:   p.Runner,
		plain:    p.Plain,
		ring:     p.Ring,
		book:     p.Book,
		rec:      p.Recorder,
	}
}

// Join makes the VM ready for callers, once it has settings.
func (e *Entry) Join() { e.joined.Store(true) }

// Drain makes the VM not ready for new callers.
func (e *Entry) Drain() { e.draining.Store(true) }

// Ready implements caller.Handler.
func (e *Entry) Ready() bool {
	return e.joined.Load() && !e.draining.Load() && e.settings.Load().System != nil
}

// target is what a request is for, all from one snapshot.
type target struct {
	request   ident.Request
	start     time.Time
	workspace *config.Workspace
	service   *config.Service
	class     *config.Class
	system    *config.System
}

// find resolves the key, the service and the class of a request.
func (e *Entry) find(key string, name ident.Service, kind config.Kind, class ident.Class) (target, *refuse.Refusal) {
	e.pending.Add(1)
	t := target{request: ident.NewRequest(), start: time.Now()}
	snap := e.settings.Load()
	if snap.System == nil {
		return t, refuse.New(refuse.SettingsMissing, "no settings have reached this VM").After(time.Second)
	}
	t.system = snap.System
	if t.workspace = snap.Caller(key); t.workspace == nil {
		return t, refuse.New(refuse.WrongKey, "the Authorization header must be \"Bearer\" and a key of a workspace")
	}
	t.service = t.workspace.Service(name)
	if t.service == nil || t.service.Kind != kind {
		return t, refuse.New(refuse.NotFound, "workspace %s has no such service", t.workspace.Name)
	}
	if class == "" {
		class = t.service.Class
	}
	if t.class = snap.System.Class(class); t.class == nil {
		return t, bad("class: there is no priority class of this name")
	}
	return t, nil
}

func bad(format string, args ...any) *refuse.Refusal {
	return refuse.New(refuse.BadInput, format, args...)
}

// ask describes the generation to the pool.
func (t *target) ask(prompt string) pool.Ask {
	ask := pool.NewAsk(t.workspace, t.service, t.class, t.system)
	ask.Prompt = promptTokens(prompt)
	ask.Prefix = xxhash.Sum64String(prompt[:min(len(prompt), prefixHead)])
	return ask
}

// Services implements caller.Handler.
func (e *Entry) Services(key string) ([]ident.Service, *refuse.Refusal) {
	w := e.settings.Load().Caller(key)
	if w == nil {
		return nil, e.Refuse(refuse.New(refuse.WrongKey, "the Authorization header must be \"Bearer\" and a key of a workspace"))
	}
	var out []ident.Service
	for _, s := range w.Services {
		if s.Kind == config.ModelService {
			out = append(out, s.Name)
		}
	}
	slices.Sort(out)
	return out, nil
}

// Refuse implements caller.Handler: it completes and records a refusal made
// before the request had a target.
func (e *Entry) Refuse(r *refuse.Refusal) *refuse.Refusal {
	e.pending.Add(1)
	t := target{request: ident.NewRequest(), start: time.Now()}
	return e.refused(&t, &final.Record{}, r)
}

// refused completes a refusal and records the request's end.
func (e *Entry) refused(t *target, rec *final.Record, r *refuse.Refusal) *refuse.Refusal {
	e.sign(t, r)
	rec.Outcome = final.Refused
	rec.Refusal = r
	e.done(t, rec)
	return r
}

// sign fills in who refused, what, and when.
func (e *Entry) sign(t *target, r *refuse.Refusal) {
	r.Request = t.request
	r.VM = e.vm
	r.At = time.Now()
	if t.workspace != nil {
		r.Workspace = t.workspace.Name
	}
}

func (e *Entry) done(t *target, rec *final.Record) {
	rec.Request = t.request
	rec.Start = t.start
	rec.Total = time.Since(t.start)
	if t.workspace != nil {
		rec.Workspace = t.workspace.Name
	}
	if t.service != nil {
		rec.Service = t.service.Name
	}
	if t.class != nil {
		rec.Class = t.class.Name
	}
	e.rec.Done(rec)
	e.pending.Add(-1)
}

// Ended asserts, when the VM ends, that no request is open. A caller that left
// is noticed with the next token, so it waits for that a little.
func (e *Entry) Ended() {
	for end := time.Now().Add(lastTokens); e.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(lastTokens / 100)
	}
	n := e.pending.Load()
	e.book.Assert(invar.CutOff, n == 0, "the VM ends with %d requests open", n)
}

// Code implements caller.Handler.
func (e *Entry) Code(r *refuse.Refusal) string { return refuse.Code(e.ring, r) }

// Explain implements caller.Handler.
func (e *Entry) Explain(code string) (*refuse.Refusal, error) {
	return refuse.Decode(e.ring, code)
}

var _ caller.Handler = (*Entry)(nil)
