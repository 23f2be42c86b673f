package plain

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/plain"
	"umberladder/internal/policy/retry"
	"umberladder/internal/state/config"
)

const (
	maxAttempts = 3           // servers tried per call
	retryAfter  = time.Second // retry delay of refused calls
)

// Client sends calls to plain servers.
type Client interface {
	Do(ctx context.Context, addr netip.AddrPort, call plain.Call) (plain.Response, error)
}

// Router sends calls to the servers of plain services. It is safe for concurrent use.
type Router struct {
	client     Client
	budget     *retry.Budget
	invariants *invar.Checker

	mu      sync.Mutex
	rng     *rand.Rand
	servers map[netip.AddrPort]*serverState
}

// serverState is the state of one server, as seen by this VM.
type serverState struct {
	inFlight int
	breaker  retry.Breaker
}

// New returns a Router that sends calls with client.
func New(client Client, budget *retry.Budget, invariants *invar.Checker, rng *rand.Rand) *Router {
	return &Router{client: client, budget: budget, invariants: invariants, rng: rng, servers: map[netip.AddrPort]*serverState{}}
}

// Do sends the call of a request to a server of the service. It returns the response and
// the server, or a refusal that states whether the call ran.
func (r *Router) Do(ctx context.Context, id ident.Request, svc *config.Service, call plain.Call) (plain.Response, ident.Server, *refuse.Refusal) {
	r.budget.RecordFirstAttempt()
	failed := map[netip.AddrPort]struct{}{}
	ran := refuse.RanNo
	for {
		server := r.pick(svc.Servers, failed)
		if server == nil {
			return plain.Response{}, "", refuse.New(refuse.NoServer, "none of the %d servers of service %s takes calls now",
				len(svc.Servers), svc.Name).WithRan(ran).WithRetryAfter(retryAfter)
		}
		r.invariants.Assert(invar.AtMostOnce, call.Retryable || ran == refuse.RanNo, "call %s may have run and is written again", id)
		resp, err := r.client.Do(ctx, server.Address, call)
		r.recordResult(server.Address, err)
		if err == nil && r.isOwnResponse(id, server, resp) {
			return resp, server.Name, nil
		}
		refusal := refusalFor(server, err)
		ran = max(ran, refusal.Ran)
		refusal.Ran = ran
		failed[server.Address] = struct{}{}
		mayRepeat := refusal.Ran == refuse.RanNo || call.Retryable
		if !mayRepeat || len(failed) >= maxAttempts || !r.budget.AllowRetry() {
			return plain.Response{}, server.Name, refusal
		}
	}
}

// isOwnResponse reports whether a response belongs to the request: a server that returns
// a request identifier must return that of the request.
func (r *Router) isOwnResponse(id ident.Request, server *config.Server, resp plain.Response) bool {
	return r.invariants.Assert(invar.OwnResponse, resp.RequestID == "" || resp.RequestID == string(id),
		"server %s answers request %s with the answer to %s", server.Name, id, resp.RequestID)
}

// refusalFor returns the refusal for an attempt at server that failed with err.
func refusalFor(server *config.Server, err error) *refuse.Refusal {
	var e *plain.Error
	if !errors.As(err, &e) {
		return refuse.New(refuse.ServerLost, "server %s failed", server.Name).WithRan(refuse.RanMaybe).WithRetryAfter(retryAfter)
	}
	switch e.Kind {
	case plain.Unsent:
		return refuse.New(refuse.NoServer, "server %s can't be reached", server.Name).WithRetryAfter(retryAfter)
	case plain.Timeout:
		return refuse.New(refuse.ServerTimeout, "server %s was given the call and did not answer in time", server.Name).
			WithRan(refuse.RanMaybe).WithRetryAfter(retryAfter)
	default:
		return refuse.New(refuse.ServerLost, "server %s was given the call and the answer broke off", server.Name).
			WithRan(refuse.RanMaybe).WithRetryAfter(retryAfter)
	}
}

// pick chooses two random servers that have not failed and whose breaker admits calls,
// and takes the one with fewer calls in flight. It returns nil if there is no such
// server.
func (r *Router) pick(servers []config.Server, failed map[netip.AddrPort]struct{}) *config.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var available []int
	for i := range servers {
		if _, isFailed := failed[servers[i].Address]; !isFailed && r.isAvailable(servers[i].Address, now) {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return nil
	}
	a, b := available[r.rng.IntN(len(available))], available[r.rng.IntN(len(available))]
	if r.state(servers[b].Address).inFlight < r.state(servers[a].Address).inFlight {
		a = b
	}
	r.state(servers[a].Address).inFlight++
	return &servers[a]
}

// isAvailable reports whether a server may be sent a call: its breaker is closed, or is
// due for a probe, in which case the call is the probe.
func (r *Router) isAvailable(addr netip.AddrPort, now time.Time) bool {
	s := r.state(addr)
	return !s.breaker.IsOpen() || s.breaker.ProbeAllowed(now) && s.inFlight == 0
}

// state returns the state of the server at addr, creating it if necessary.
func (r *Router) state(addr netip.AddrPort) *serverState {
	s := r.servers[addr]
	if s == nil {
		s = &serverState{}
		r.servers[addr] = s
	}
	return s
}

// recordResult records the end of a call to the server at addr.
func (r *Router) recordResult(addr netip.AddrPort, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(addr)
	s.inFlight--
	if err == nil {
		s.breaker.Success(time.Now())
		return
	}
	s.breaker.Failure(time.Now(), r.rng.Float64())
}
