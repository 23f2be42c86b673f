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
	maxTries  = 3
	comeAgain = time.Second
)

// Caller is what a router needs of the plain servers' protocol.
type Caller interface {
	Do(ctx context.Context, addr netip.AddrPort, call plain.Call) (plain.Answer, error)
}

// Router chooses servers. It is safe for use by several goroutines.
type Router struct {
	client Caller
	budget *retry.Budget
	book   *invar.Book

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[netip.AddrPort]*node
}

type node struct {
	open    int
	breaker retry.Breaker
}

// New makes a router.
func New(client Caller, budget *retry.Budget, book *invar.Book, rng *rand.Rand) *Router {
	return &Router{client: client, budget: budget, book: book, rng: rng, nodes: map[netip.AddrPort]*node{}}
}

// Do sends the request's call to one of the service's servers and returns its
// answer and server, or the refusal that says whether the call ran.
func (r *Router) Do(ctx context.Context, id ident.Request, svc *config.Service, call plain.Call) (plain.Answer, ident.Server, *refuse.Refusal) {
	r.budget.Earn()
	failed := map[netip.AddrPort]struct{}{}
	ran := refuse.RanNo
	for {
		server := r.pick(svc.Servers, failed)
		if server == nil {
			return plain.Answer{}, "", refuse.New(refuse.NoServer, "none of the %d servers of service %s takes calls now",
				len(svc.Servers), svc.Name).With(ran).After(comeAgain)
		}
		r.book.Assert(invar.AtMostOnce, call.Repeatable || ran == refuse.RanNo, "call %s may have run and is written again", id)
		answer, err := r.client.Do(ctx, server.Address, call)
		r.done(server.Address, err)
		if err == nil && r.own(id, server, answer) {
			return answer, server.Name, nil
		}
		refusal := judge(server, err)
		ran = max(ran, refusal.Ran)
		refusal.Ran = ran
		failed[server.Address] = struct{}{}
		safe := refusal.Ran == refuse.RanNo || call.Repeatable
		if !safe || len(failed) >= maxTries || !r.budget.Spend() {
			return plain.Answer{}, server.Name, refusal
		}
	}
}

// own reports whether an answer is the request's: a server that returns the
// request's identifier must return the right one.
func (r *Router) own(id ident.Request, server *config.Server, a plain.Answer) bool {
	return r.book.Assert(invar.OwnAnswer, a.Echo == "" || a.Echo == string(id),
		"server %s answers request %s with the answer to %s", server.Name, id, a.Echo)
}

func judge(server *config.Server, err error) *refuse.Refusal {
	var e *plain.Error
	if !errors.As(err, &e) {
		return refuse.New(refuse.ServerDied, "server %s failed", server.Name).With(refuse.RanMaybe).After(comeAgain)
	}
	switch e.Fault {
	case plain.Unsent:
		return refuse.New(refuse.NoServer, "server %s can't be reached", server.Name).After(comeAgain)
	case plain.Silent:
		return refuse.New(refuse.ServerSilent, "server %s was given the call and did not answer in time", server.Name).
			With(refuse.RanMaybe).After(comeAgain)
	default:
		return refuse.New(refuse.ServerDied, "server %s was given the call and the answer broke off", server.Name).
			With(refuse.RanMaybe).After(comeAgain)
	}
}

// pick draws two servers that are not failed or broken and takes the one with
// fewer open calls.
func (r *Router) pick(servers []config.Server, failed map[netip.AddrPort]struct{}) *config.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var open []int
	for i := range servers {
		if _, bad := failed[servers[i].Address]; !bad && r.takes(servers[i].Address, now) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return nil
	}
	a, b := open[r.rng.IntN(len(open))], open[r.rng.IntN(len(open))]
	if r.node(servers[b].Address).open < r.node(servers[a].Address).open {
		a = b
	}
	r.node(servers[a].Address).open++
	return &servers[a]
}

// takes reports whether a server may get a call: its breaker is closed, or
// due for a trial, which this call then is.
func (r *Router) takes(addr netip.AddrPort, now time.Time) bool {
	n := r.node(addr)
	return !n.breaker.Open() || n.breaker.Trial(now) && n.open == 0
}

func (r *Router) node(addr netip.AddrPort) *node {
	n := r.nodes[addr]
	if n == nil {
		n = &node{}
		r.nodes[addr] = n
	}
	return n
}

func (r *Router) done(addr netip.AddrPort, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.node(addr)
	n.open--
	if err == nil {
		n.breaker.Success(time.Now())
		return
	}
	n.breaker.Failure(time.Now(), r.rng.Float64())
}
