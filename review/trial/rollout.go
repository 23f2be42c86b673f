package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// All servers are replaced in place, one each rolloutGap, and are down for rolloutDown. Their entries reach the store registerLag after they have started.
	rolloutEngines = 4
	rolloutStart   = 2 * time.Second
	rolloutGap     = time.Second
	rolloutDown    = 300 * time.Millisecond
	registerLag    = 800 * time.Millisecond
	// Clients send rolloutRequests generations of rolloutEvents events each.
	rolloutRequests = 150
	rolloutInterval = 40 * time.Millisecond
	rolloutEvents   = 50
	rolloutPause    = 50 * time.Millisecond
	rolloutDeadline = 6 * time.Second
	// mixedAllowed is how many streams the rule lets hold events of two versions.
	mixedAllowed = 2
)

// engine is a server that can start again under its id, with another version of its software.
type engine struct {
	fleet *fleet
	id    string
	addr  string

	mu      sync.Mutex
	version string
	born    time.Time
	ln      net.Listener
	conns   map[net.Conn]struct{}
	group   errgroup.Group
}

func runRollout(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	var engines []*engine
	for n := range rolloutEngines {
		e := &engine{fleet: f, id: fmt.Sprintf("i-engine-%d", n+1), addr: net.JoinHostPort(f.host.String(), "0"), conns: make(map[net.Conn]struct{})}
		if err := e.start("v1"); err != nil {
			return nil, err
		}
		f.group.Go(func() error { e.beat(ctx); return nil })
		engines = append(engines, e)
	}
	f.store.Put("op/config", []byte(rolloutConfig))
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	if trouble {
		f.group.Go(func() error { f.replaceAll(engines); return nil })
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var mixed []string
	for n := range rolloutRequests {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		wg.Add(1)
		f.group.Go(func() error {
			defer wg.Done()
			q := generation(fmt.Sprintf("9c41d07f%08x", n), 4*rolloutEvents)
			q.timeout = rolloutDeadline
			resp := send(f.vms[n%len(f.vms)].front, q)
			v := versionsOf(string(resp.body))
			f.rec.add("client %s got %d with %d events, of versions %s, error %v", q.id, resp.status, strings.Count(string(resp.body), "id: "), v, resp.err)
			if strings.Contains(v, "+") {
				mu.Lock()
				defer mu.Unlock()
				mixed = append(mixed, q.id+" "+v)
			}
			return nil
		})
		time.Sleep(rolloutInterval)
	}
	wg.Wait()
	for _, e := range engines {
		e.stop()
	}
	if len(mixed) <= mixedAllowed {
		return nil, nil
	}
	return []string{fmt.Sprintf("ORDER: %d streams hold events of two versions in one answer: %s", len(mixed), strings.Join(mixed, ", "))}, nil
}

// replaceAll replaces one server after the other in place.
func (f *fleet) replaceAll(engines []*engine) {
	time.Sleep(rolloutStart)
	for _, e := range engines {
		next := time.After(rolloutGap)
		e.stop()
		time.Sleep(rolloutDown)
		if err := e.start("v2"); err != nil {
			f.rec.add("server %s did not start: %v", e.id, err)
		}
		<-next
	}
}

// versionsOf returns the versions that made the events of an answer, with + between them.
func versionsOf(body string) string {
	var out []string
	for line := range strings.Lines(body) {
		v, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if v, _, _ = strings.Cut(v, " "); ok && (len(out) == 0 || out[len(out)-1] != v) {
			out = append(out, v)
		}
	}
	return strings.Join(out, "+")
}

// start starts the server, as another boot, at the address that it had.
func (e *engine) start(version string) error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.ln, e.version, e.born = ln.Addr().String(), ln, version, time.Now()
	e.fleet.rec.add("server %s starts at %s with version %s", e.id, e.addr, version)
	e.group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			e.mu.Lock()
			e.conns[c] = struct{}{}
			e.mu.Unlock()
			e.group.Go(func() error { e.serve(c, version); return nil })
		}
	})
	return nil
}

// stop ends the server's process, as far as others can see.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.ln.Close()
	for c := range e.conns {
		resetConn(c)
	}
	clear(e.conns)
	e.fleet.rec.add("server %s ends", e.id)
}

// beat writes the server's entry, for the first time registerLag after a start.
func (e *engine) beat(ctx context.Context) {
	written := time.Time{}
	for sequence := 1; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		e.mu.Lock()
		version, born, addr := e.version, e.born, e.addr
		e.mu.Unlock()
		now := time.Now()
		isNew := written.Before(born)
		if isNew && sequence > 1 && now.Sub(born) < registerLag || !isNew && now.Sub(written) < heartbeat {
			continue
		}
		written = now
		e.fleet.store.Put("servers/"+e.id, fmt.Appendf(nil,
			`{"service":"drafter","address":%q,"zone":"kgn-a","version":%q,"slots":24,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
			addr, version, sequence, born.UnixMilli()))
		sequence++
	}
}

func (e *engine) serve(c net.Conn, version string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if expected := req.Header.Get(headerInstance); expected != "" && expected != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Umberladder-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			continue
		}
		if req.URL.Path == "/report" {
			e.report(c)
			continue
		}
		if !e.generate(c, req, version) {
			return
		}
	}
}

func (e *engine) report(w io.Writer) {
	e.mu.Lock()
	text := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":4,"kvUsed":4000,"kvTotal":34288,"handles":0,"born":%d}`, e.born.UnixMilli())
	e.mu.Unlock()
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// generate makes the events after that in Last-Event-Id. Each names the version that made it.
func (e *engine) generate(w io.Writer, r *http.Request, version string) bool {
	id := r.Header.Get(headerAttempt)
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	e.fleet.rec.add("server %s, version %s, begins %s after event %d", e.id, version, id, after)
	if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, id, headerSignature, signature(e.id, id, nil)); err != nil {
		return false
	}
	for n := after + 1; n <= rolloutEvents; n++ {
		time.Sleep(rolloutPause)
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, version, id)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err = io.WriteString(w, "0\r\n\r\n")
	return err == nil
}

// rolloutConfig has a route like tank-advice, whose streams may be resumed.
var rolloutConfig = strings.NewReplacer(
	`"timeoutMs":39000,"targetLatencyMs":1800,"priority":1`, `"timeoutMs":6000,"targetLatencyMs":1500,"priority":0`,
	`"maxAttempts":1`, `"maxAttempts":2`,
	`"resumable":false`, `"resumable":true`,
).Replace(stopConfig)
