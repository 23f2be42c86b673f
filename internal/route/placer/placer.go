package placer

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/hubs"
)

// errNoResponse reports that the coordinator did not respond.
var errNoResponse = errors.New("placer: the coordinator does not respond")

const (
	// firstTimeout is how long a coordinator may take to respond to a new request:
	// 1 ms of network delay each way, and more on a VM with a fifth of a core. The
	// request is sent three times within it, because datagrams may be lost.
	firstTimeout = 60 * time.Millisecond
	maxTries     = 3
	// briefTimeout is the same for a brief run. Two coordinators grant the same places, and the
	// servers of brief runs may fail if they are overrun, so that a coordinator that is only late
	// is waited for. The request is also sent maxTries times, each time after twice the pause.
	briefTimeout = (1 + 2 + 4) * firstTimeout / maxTries
	// renewInterval is how often a queued request is repeated.
	renewInterval = 150 * time.Millisecond
	// avoidTime is how long a coordinator that did not respond gets no requests.
	avoidTime = time.Second
	// maxUnusable is how many granted servers a VM declines, because it knows that
	// they accept no calls, before it places the run itself.
	maxUnusable = 3
	// maxCoordinators is how many VMs of the order are asked before a VM places the
	// run itself.
	maxCoordinators = 2
)

// Transport sends requests to other VMs.
type Transport interface {
	SendRequest(to netip.AddrPort, r coord.Request)
}

// Placer places the runs of one VM. It is safe for concurrent use.
type Placer struct {
	vm          ident.VM
	chooser     *pick.Chooser
	coordinator *coord.Coordinator
	order       func(ident.Service, time.Time) []hubs.CoordinatorCandidate
	transport   Transport
	count       func(outcome string)
	log         *zap.Logger

	mu           sync.Mutex
	lastID       uint64
	pending      map[uint64]chan coord.Response
	avoidUntil   map[ident.VM]time.Time // until when a VM gets no requests
	coordinators map[ident.Service]ident.VM
}

// New returns a Placer. order returns the VMs that may coordinate a service, in
// order; coordinator is this VM's own. Request IDs start after instance, which
// identifies the instance of this VM. count is called with the outcome of each
// placement.
func New(vm ident.VM, instance uint64, c *pick.Chooser, coordinator *coord.Coordinator, order func(ident.Service, time.Time) []hubs.CoordinatorCandidate, transport Transport, count func(outcome string), log *zap.Logger) *Placer {
	return &Placer{
		vm: vm, chooser: c, coordinator: coordinator, order: order, transport: transport, count: count, log: log,
		lastID: instance, pending: make(map[uint64]chan coord.Response), avoidUntil: make(map[ident.VM]time.Time),
		coordinators: make(map[ident.Service]ident.VM),
	}
}

// Outcomes of placements, as in the metrics.
const (
	outcomeCoordinator        = "by-home"
	outcomeLocal              = "alone"
	outcomeNoCapacity         = "no-room"
	outcomeNoServer           = "no-server"
	outcomeClientDisconnected = "client-left"
)

// Place returns the placement of a run. Its error is pick.ErrNoServer, a
// *pick.NoCapacityError or the context's error.
func (p *Placer) Place(ctx context.Context, r pick.Request) (pick.Placement, error) {
	placement, outcome, err := p.place(ctx, r)
	var noCapacity *pick.NoCapacityError
	switch {
	case errors.As(err, &noCapacity):
		outcome = outcomeNoCapacity
	case errors.Is(err, pick.ErrNoServer):
		outcome = outcomeNoServer
	case err != nil:
		outcome = outcomeClientDisconnected
	}
	p.count(outcome)
	return placement, err
}

// place returns the placement of a run and the outcome to count.
func (p *Placer) place(ctx context.Context, r pick.Request) (pick.Placement, string, error) {
	start := time.Now()
	if len(p.chooser.View().ServersOf(r.Service)) == 0 {
		// This VM could not use a server that only the coordinator knows.
		return pick.Placement{}, outcomeLocal, pick.ErrNoServer
	}
	r.Exclude = append(slices.Clone(r.Exclude), p.chooser.Paused(r.Service, start)...)
	req := r
	req.Exclude = append(slices.Clone(r.Exclude), p.chooser.Unhealthy(r.Service, start)...)
	var declined []ident.Server
	for range maxUnusable {
		resp, err := p.requestPlacement(ctx, req)
		if err != nil {
			break
		}
		switch resp.State {
		case coord.NoCapacity:
			return pick.Placement{}, outcomeCoordinator, &pick.NoCapacityError{RetryAfter: resp.RetryAfter, Ahead: resp.Ahead, OwnAhead: resp.OwnAhead, Share: resp.Share}
		case coord.NoServer:
			if includeUnhealthy(&req, &r, declined) {
				continue
			}
			// The coordinator may know fewer servers than this VM.
			placement, err := p.placeLocally(ctx, r, start)
			return placement, outcomeLocal, err
		}
		view := p.chooser.View()
		server, backup := view.Server(resp.Server), view.Server(resp.Backup)
		if !view.Accepts(resp.Backup) || server == nil || backup.Version == "" || backup.Version != server.Version {
			backup = nil
		}
		if view.Accepts(resp.Server) && (r.Version == "" || server.Version == r.Version) && !p.chooser.IsPaused(server.ID, time.Now()) {
			return pick.Placement{Server: server, Backup: backup, Grant: resp.ID}, outcomeCoordinator, nil
		}
		declined = append(declined, resp.Server)
		req.Exclude = append(req.Exclude, resp.Server)
	}
	if err := ctx.Err(); err != nil {
		return pick.Placement{}, outcomeCoordinator, err
	}
	placement, err := p.placeLocally(ctx, r, start)
	return placement, outcomeLocal, err
}

// includeUnhealthy no longer excludes, from a request for a brief run, servers other than those
// that the run itself excludes and those that this VM declined, and reports whether it did. All
// servers have failed calls of this VM then. It must not use more of them than the coordinator
// grants, which would make more of them fail.
func includeUnhealthy(req, run *pick.Request, declined []ident.Server) bool {
	if !run.Brief || len(req.Exclude) == len(run.Exclude)+len(declined) {
		return false
	}
	req.Exclude = slices.Concat(run.Exclude, declined)
	return true
}

// placeLocally places the run from what this VM knows. Runs that wait here are
// not ordered by priority, so a run waits only while it can still start in time.
func (p *Placer) placeLocally(ctx context.Context, r pick.Request, start time.Time) (pick.Placement, error) {
	r.Local = true
	timer := time.NewTimer(max(0, min(r.TargetWait, r.MaxWait)-time.Since(start)))
	defer timer.Stop()
	for {
		changed := p.chooser.Changed()
		placement, err := p.chooser.Choose(&r, nil, time.Now())
		var noCapacity *pick.NoCapacityError
		if !errors.As(err, &noCapacity) {
			return placement, err
		}
		select {
		case <-ctx.Done():
			return pick.Placement{}, ctx.Err()
		case <-changed:
		case <-timer.C:
			return pick.Placement{}, &pick.NoCapacityError{RetryAfter: coord.MinRetryAfter}
		}
	}
}

// requestPlacement asks the coordinator, or the next VM in order if it does not
// respond.
func (p *Placer) requestPlacement(ctx context.Context, r pick.Request) (coord.Response, error) {
	tried := 0
	order := p.order(r.Service, time.Now())
	p.logCoordinatorChange(r.Service, order)
	for _, cand := range order {
		if p.isAvoided(cand.VM) {
			continue
		}
		resp, err := p.requestFrom(ctx, cand, r)
		if err == nil || ctx.Err() != nil {
			return resp, err
		}
		p.avoid(cand.VM)
		if tried++; tried == maxCoordinators {
			break
		}
	}
	return coord.Response{}, errNoResponse
}

// logCoordinatorChange logs that the coordinator of a service has changed.
func (p *Placer) logCoordinatorChange(s ident.Service, order []hubs.CoordinatorCandidate) {
	if len(order) == 0 {
		return
	}
	p.mu.Lock()
	old := p.coordinators[s]
	p.coordinators[s] = order[0].VM
	p.mu.Unlock()
	if old != order[0].VM {
		p.log.Info("home changed", zap.String("service", string(s)), zap.String("from", string(old)),
			zap.String("to", string(order[0].VM)), zap.Bool("this-vm", !order[0].Addr.IsValid()))
	}
}

func (p *Placer) isAvoided(vm ident.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.avoidUntil[vm])
}

func (p *Placer) avoid(vm ident.VM) {
	p.mu.Lock()
	p.avoidUntil[vm] = time.Now().Add(avoidTime)
	p.mu.Unlock()
	p.log.Info("home does not answer", zap.String("home", string(vm)))
}

// addRequest registers a request and returns its ID and the channel for its
// responses.
func (p *Placer) addRequest() (uint64, chan coord.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	ch := make(chan coord.Response, 2*maxTries)
	p.pending[p.lastID] = ch
	return p.lastID, ch
}

func (p *Placer) removeRequest(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// HandleResponse handles a response to a request.
func (p *Placer) HandleResponse(resp coord.Response) {
	p.mu.Lock()
	ch := p.pending[resp.ID]
	p.mu.Unlock()
	select {
	case ch <- resp:
	default:
		// The request has ended, or the response was repeated.
	}
}

// requestFrom sends a request to one VM, and repeats it until the VM decides.
func (p *Placer) requestFrom(ctx context.Context, cand hubs.CoordinatorCandidate, r pick.Request) (coord.Response, error) {
	id, ch := p.addRequest()
	defer p.removeRequest(id)
	start := time.Now()
	lastResponse, interval, timeout := start, firstTimeout/maxTries, firstTimeout
	if r.Brief {
		timeout = briefTimeout
	}
	for {
		r := r
		r.MaxWait = max(0, r.MaxWait-time.Since(start))
		r.TargetWait = max(0, r.TargetWait-time.Since(start))
		if r.CurrentRank != nil {
			r.Rank = r.CurrentRank()
		}
		p.send(cand, coord.Request{VM: p.vm, ID: id, Run: r, ReportsGrants: r.Brief})
		timer := time.NewTimer(interval)
		select {
		case resp := <-ch:
			timer.Stop()
			if resp.State != coord.Waiting {
				return resp, nil
			}
			lastResponse, interval, timeout = time.Now(), renewInterval, maxTries*renewInterval
			if resp, ok := p.awaitDecision(ctx, ch, renewInterval); ok {
				return resp, nil
			}
		case <-timer.C:
			if timeout == briefTimeout {
				interval *= 2
			}
		case <-ctx.Done():
			timer.Stop()
		}
		if err := ctx.Err(); err != nil {
			return coord.Response{}, err
		}
		if time.Since(lastResponse) >= timeout {
			return coord.Response{}, errNoResponse
		}
	}
}

// awaitDecision waits for the decision on a queued request.
func (p *Placer) awaitDecision(ctx context.Context, ch chan coord.Response, timeout time.Duration) (coord.Response, bool) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	for {
		select {
		case resp := <-ch:
			if resp.State != coord.Waiting {
				return resp, true
			}
		case <-t.C:
			return coord.Response{}, false
		case <-ctx.Done():
			return coord.Response{}, false
		}
	}
}

func (p *Placer) send(cand hubs.CoordinatorCandidate, r coord.Request) {
	if cand.Addr.IsValid() {
		p.transport.SendRequest(cand.Addr, r)
		return
	}
	p.coordinator.Submit(r, p.HandleResponse, time.Now())
}
