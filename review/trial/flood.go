package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFds is what the settings of a machine state in limits.maxFds. The stand-in of the
	// platform sets it as the limit of each VM.
	maxFds = 4100
	// ownFds is how many descriptors the stand-ins of clients and servers need.
	ownFds = 8192
	// The requests of the large deployment, 394.8 a second: keptClients use kept channels, of
	// which keptAtFirst lead to the first VM, and the others come on new ones.
	keptClients  = 30
	keptAtFirst  = 20
	newPerSecond = 345
	// floodFor is how long the platform hands the new channels to one VM.
	floodFor   = 14 * time.Second
	floodAfter = 2 * time.Second // how long the requests go on afterwards
	// maxLost is how many requests the rule lets a machine lose.
	maxLost = 3
)

// floodConfig has the route and the service of the bookings besides those of generations.
var floodConfig = strings.NewReplacer(
	`"routes":[`, `"routes":[
{"name":"r-ping","hostname":"crew.example","prefix":"/ping/","kind":"non_idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"yard-app","maxAttempts":2,"public":false,"sticky":false,"resumable":false},`,
	`"services":[`, `"services":[{"name":"yard-app","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false},`,
).Replace(stopConfig)

// floodRun is the traffic and what became of it.
type floodRun struct {
	fleet *fleet
	log   *runLog
	end   time.Time // of the flood
	stop  time.Time // of the traffic
	n     atomic.Int64
	out   atomic.Bool // the first VM has not been ready twice in a row

	mu    sync.Mutex
	lost  map[*vm][]string // attempts on kept channels that ended without an answer
	held  []*client        // channels that clients keep open
	ended map[*vm]int      // channels opened to a VM until its process ended
}

func runFlood(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil {
		return nil, err
	}
	if own.Cur < ownFds {
		return nil, fmt.Errorf("the clients and servers need %d descriptors, the limit is %d", ownFds, own.Cur)
	}
	r := &floodRun{fleet: f, log: newRunLog(), lost: make(map[*vm][]string), ended: make(map[*vm]int)}
	for _, id := range []string{"i-engine-1", "i-engine-2", "i-engine-3", "i-engine-4"} {
		if err := f.startServer(ctx, id, "drafter", 24, func(s *server) handler {
			return func(w net.Conn, q *http.Request) bool { return r.log.generate(s, w, q) }
		}); err != nil {
			return nil, err
		}
	}
	for _, id := range []string{"i-yard-1", "i-yard-2", "i-yard-3", "i-yard-4"} {
		if err := f.startServer(ctx, id, "yard-app", 6, func(s *server) handler {
			return func(w net.Conn, q *http.Request) bool {
				f.rec.add("server %s runs %s", s.id, q.Header.Get(headerAttempt))
				time.Sleep(15 * time.Millisecond)
				return s.answer(w, q.Header.Get(headerAttempt), http.StatusOK, []byte("booked"))
			}
		}); err != nil {
			return nil, err
		}
	}
	f.store.Put("op/config", []byte(floodConfig))
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	for _, v := range f.vms {
		if err := unix.Prlimit(v.cmd.Process.Pid, syscall.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFds, Max: maxFds}, nil); err != nil {
			return nil, err
		}
	}
	r.end = time.Now().Add(floodFor)
	r.stop = r.end.Add(floodAfter)
	r.run(ctx, trouble)
	return r.check(), ctx.Err()
}

func (r *floodRun) run(ctx context.Context, trouble bool) {
	var wg sync.WaitGroup
	for n := range keptClients {
		v := r.fleet.vms[0]
		if n >= keptAtFirst {
			v = r.fleet.vms[1+n%2]
		}
		wg.Add(1)
		r.fleet.group.Go(func() error { defer wg.Done(); r.keep(ctx, v); return nil })
	}
	r.fleet.group.Go(func() error { r.watchReadiness(ctx, r.fleet.vms[0]); return nil })
	opened := make(map[*vm]int)
	t := time.NewTicker(time.Second / newPerSecond)
	defer t.Stop()
	for n := 0; time.Now().Before(r.stop) && ctx.Err() == nil; n++ {
		<-t.C
		v := r.fleet.vms[n%len(r.fleet.vms)]
		if trouble && time.Now().Before(r.end) {
			v = r.fleet.vms[0]
		}
		if v.isEnded() || v == r.fleet.vms[0] && r.out.Load() { // the platform hands it no channels
			if v.isEnded() {
				r.countEnd(v, opened[v])
			}
			v = r.fleet.vms[1+n%2]
		}
		opened[v]++
		wg.Add(1)
		r.fleet.group.Go(func() error { defer wg.Done(); r.open(v); return nil })
	}
	for i, v := range r.fleet.vms {
		r.fleet.rec.add("channels opened to VM %d: %d", i+1, opened[v])
	}
	wg.Wait()
	for _, c := range r.held {
		c.close()
	}
}

// watchReadiness asks a VM once a second whether it is ready, as the platform does. Two misses take
// it out until it is ready again.
func (r *floodRun) watchReadiness(ctx context.Context, v *vm) {
	misses := 0
	for time.Now().Before(r.stop) && ctx.Err() == nil {
		if misses++; v.isReady(ctx) {
			misses = 0
		}
		r.out.Store(misses > 1)
		r.fleet.rec.add("%s ready: %t", v.name, misses == 0)
		time.Sleep(time.Second)
	}
}

func (r *floodRun) countEnd(v *vm, opened int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.ended[v]; !ok {
		r.ended[v] = opened
	}
}

// open sends a booking on a new channel, which its client keeps for its next request.
func (r *floodRun) open(v *vm) {
	c, err := dial(v.front)
	if err != nil {
		return
	}
	id := fmt.Sprintf("9c41d07d%08x", r.n.Add(1))
	resp := c.do(request{id: id, method: http.MethodPost, path: "/ping/2f", timeout: 600 * time.Millisecond, body: "crew"})
	r.fleet.rec.add("client %s on a new channel to %s got %d, error %v", id, v.name, resp.status, resp.err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = append(r.held, c)
}

// keep sends one generation after the other on a kept channel.
func (r *floodRun) keep(ctx context.Context, v *vm) {
	c, err := dial(v.front)
	if err != nil {
		return
	}
	defer c.close()
	for first := true; time.Now().Before(r.stop) && ctx.Err() == nil; first = false {
		id := fmt.Sprintf("9c41d07e%08x", r.n.Add(1))
		resp := c.do(generation(id, 12))
		server := r.log.server(id)
		r.fleet.rec.add("client %s on a kept channel to %s got %d with %d bytes, run by %q, error %v", id, v.name, resp.status, len(resp.body), server, resp.err)
		if resp.err == nil {
			continue
		}
		if !first && server != "" && resp.status == 0 {
			r.mu.Lock()
			r.lost[v] = append(r.lost[v], id)
			r.mu.Unlock()
		}
		return
	}
}

// server returns the server that ran an attempt, or "".
func (l *runLog) server(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

// check returns the VMs that lost more requests than the rule allows.
func (r *floodRun) check() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for v, list := range r.lost {
		if len(list) > maxLost {
			out = append(out, fmt.Sprintf("LOST: %s closed the kept channels of %d requests without an answer, which sound servers ran; its process ended by itself with %d channels opened: %s", v.name, len(list), r.ended[v], v.lastLine()))
		}
	}
	return out
}
