package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/result"
	"umberladder/internal/core/seal"
	"umberladder/internal/peer/caller"
	"umberladder/internal/route/infer"
	"umberladder/internal/route/limits"
	"umberladder/internal/route/plain"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
)

const (
	// prefixBytes is the length, in bytes, of the prompt prefix that is hashed to
	// find the engine whose KV cache is likely to contain the prompt.
	prefixBytes = 256
	// bytesPerToken is the usual ratio for English text. The estimate of the
	// prompt's size is used only for placement; engines count the tokens
	// themselves.
	bytesPerToken = 4
	// closeTimeout is how long streams whose clients have disconnected may take
	// to end.
	closeTimeout = 3 * time.Second
)

// Settings provides the settings snapshot in force.
type Settings interface {
	Load() *config.Snapshot
}

// Handler serves the requests of clients. It implements caller.Handler and is
// safe for concurrent use.
type Handler struct {
	vm         ident.VM
	settings   Settings
	limiter    *limits.Limiter
	claims     Claims
	placers    func(ident.Model) (infer.Placer, bool)
	runner     *infer.Runner
	plain      *plain.Router
	ring       *seal.KeyRing
	invariants *invar.Checker
	recorder   result.Recorder
	ready      atomic.Bool
	draining   atomic.Bool
	pending    atomic.Int64 // requests started whose end is not recorded yet
}

// Deps holds the dependencies of a Handler.
type Deps struct {
	VM         ident.VM
	Settings   Settings
	Limiter    *limits.Limiter
	Claims     Claims
	Placers    func(ident.Model) (infer.Placer, bool)
	Runner     *infer.Runner
	Plain      *plain.Router
	Ring       *seal.KeyRing
	Invariants *invar.Checker
	Recorder   result.Recorder
}

// New returns a Handler with the given dependencies.
func New(d Deps) *Handler {
	return &Handler{
		vm:         d.VM,
		settings:   d.Settings,
		limiter:    d.Limiter,
		claims:     d.Claims,
		placers:    d.Placers,
		runner:     d.Runner,
		plain:      d.Plain,
		ring:       d.Ring,
		invariants: d.Invariants,
		recorder:   d.Recorder,
	}
}

// MarkReady lets Ready report true once the VM has settings.
func (h *Handler) MarkReady() { h.ready.Store(true) }

// Drain makes Ready report false, so that the load balancer sends no new
// clients.
func (h *Handler) Drain() { h.draining.Store(true) }

// Ready implements caller.Handler.
func (h *Handler) Ready() bool {
	return h.ready.Load() && !h.draining.Load() && h.settings.Load().System != nil
}

// callInfo describes a request. Its settings all come from one snapshot.
type callInfo struct {
	request   ident.Request
	start     time.Time
	workspace *config.Workspace
	service   *config.Service
	class     *config.Class
	system    *config.System
}

// resolve looks up the workspace of the API key, the service and the priority
// class of a request.
func (h *Handler) resolve(key string, name ident.Service, kind config.Kind, class ident.Class) (callInfo, *refuse.Refusal) {
	h.pending.Add(1)
	info := callInfo{request: ident.NewRequest(), start: time.Now()}
	snap := h.settings.Load()
	if snap.System == nil {
		return info, refuse.New(refuse.SettingsMissing, "no settings have reached this VM").WithRetryAfter(time.Second)
	}
	info.system = snap.System
	if info.workspace = snap.WorkspaceByKey(key); info.workspace == nil {
		return info, refuse.New(refuse.WrongKey, "the Authorization header must be \"Bearer\" and a key of a workspace")
	}
	info.service = info.workspace.Service(name)
	if info.service == nil || info.service.Kind != kind {
		return info, refuse.New(refuse.NotFound, "workspace %s has no such service", info.workspace.Name)
	}
	if class == "" {
		class = info.service.Class
	}
	if info.class = snap.System.Class(class); info.class == nil {
		return info, badInput("class: there is no priority class of this name")
	}
	return info, nil
}

func badInput(format string, args ...any) *refuse.Refusal {
	return refuse.New(refuse.BadInput, format, args...)
}

// placementRequest returns the request that asks the pool to place the
// generation.
func (info *callInfo) placementRequest(prompt string) pool.Request {
	req := pool.NewRequest(info.workspace, info.service, info.class, info.system)
	req.Prompt = promptTokens(prompt)
	req.Prefix = xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
	return req
}

// Services implements caller.Handler.
func (h *Handler) Services(key string) ([]ident.Service, *refuse.Refusal) {
	w := h.settings.Load().WorkspaceByKey(key)
	if w == nil {
		return nil, h.RecordRefusal(refuse.New(refuse.WrongKey, "the Authorization header must be \"Bearer\" and a key of a workspace"))
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

// RecordRefusal implements caller.Handler: it annotates and records a refusal made
// before the request was resolved.
func (h *Handler) RecordRefusal(r *refuse.Refusal) *refuse.Refusal {
	h.pending.Add(1)
	info := callInfo{request: ident.NewRequest(), start: time.Now()}
	return h.recordRefusal(&info, &result.Record{}, r)
}

// recordRefusal annotates a refusal and records the request's end.
func (h *Handler) recordRefusal(info *callInfo, rec *result.Record, r *refuse.Refusal) *refuse.Refusal {
	h.annotate(info, r)
	rec.Outcome = result.Refused
	rec.Refusal = r
	h.recordEnd(info, rec)
	return r
}

// annotate sets the request, VM, time and workspace of a refusal.
func (h *Handler) annotate(info *callInfo, r *refuse.Refusal) {
	r.Request = info.request
	r.VM = h.vm
	r.At = time.Now()
	if info.workspace != nil {
		r.Workspace = info.workspace.Name
	}
}

// recordEnd completes the record of a request and passes it to the recorder.
func (h *Handler) recordEnd(info *callInfo, rec *result.Record) {
	rec.Request = info.request
	rec.Start = info.start
	rec.Total = time.Since(info.start)
	if info.workspace != nil {
		rec.Workspace = info.workspace.Name
	}
	if info.service != nil {
		rec.Service = info.service.Name
	}
	if info.class != nil {
		rec.Class = info.class.Name
	}
	h.recorder.RecordRequest(rec)
	h.pending.Add(-1)
}

// AssertIdle asserts at shutdown that no request is open. It first waits up to
// closeTimeout, because the disconnection of a client is noticed only when the
// next token is written.
func (h *Handler) AssertIdle() {
	for end := time.Now().Add(closeTimeout); h.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(closeTimeout / 100)
	}
	n := h.pending.Load()
	h.invariants.Assert(invar.CutOff, n == 0, "the VM ends with %d requests open", n)
}

// Code implements caller.Handler.
func (h *Handler) Code(r *refuse.Refusal) string { return refuse.Code(h.ring, r) }

// Explain implements caller.Handler.
func (h *Handler) Explain(code string) (*refuse.Refusal, error) {
	return refuse.Decode(h.ring, code)
}

var _ caller.Handler = (*Handler)(nil)
