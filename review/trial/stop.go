package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// firstEvent is when a generation brings its first event, and eventPause the pause until
	// each further one, which is over half of the pause that the route still calls on time.
	firstEvent = 300 * time.Millisecond
	eventPause = 100 * time.Millisecond
	// stopEvents is the number of events of a generation, of four tokens each.
	stopEvents = 60
	stopTokens = 4 * stopEvents
	// stopClients use the channels that they have kept from stopFirst after the SIGTERM on,
	// one each stopStep.
	stopClients  = 8
	stopFirst    = 3050 * time.Millisecond
	stopStep     = 40 * time.Millisecond
	stopDeadline = 39 * time.Second
	graceEnd     = 8 * time.Second
)

const stopConfig = `{"version":7,"routes":[
{"name":"r-proposal","hostname":"crew.example","prefix":"/proposal/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"drafter","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":180}],
"services":[{"name":"drafter","healthPath":"/health","maxConnections":242,"protocol":"h1","tls":false,
"engine":{"slots":24,"kvCapacityTokens":34288,"kvTokenBytes":163840,"linkMbps":24000.0,"migrations":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}`

// runLog records the runs of generations.
type runLog struct {
	mu     sync.Mutex
	ran    map[string]string // by attempt: the server that ran it
	events map[string]int    // by attempt: events that the server made
	gone   map[string]bool   // by attempt: the VM closed the server's channel
}

func newRunLog() *runLog {
	return &runLog{ran: make(map[string]string), events: make(map[string]int), gone: make(map[string]bool)}
}

func runStop(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	log := newRunLog()
	for _, id := range []string{"i-engine-1", "i-engine-2"} {
		if err := f.startServer(ctx, id, "drafter", 24, func(s *server) handler {
			return func(w net.Conn, r *http.Request) bool { return log.generate(s, w, r) }
		}); err != nil {
			return nil, err
		}
	}
	f.store.Put("op/config", []byte(stopConfig))
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	return log.stopVM(ctx, f, trouble)
}

// generate runs a generation: it sends an event each eventPause.
func (l *runLog) generate(s *server, w net.Conn, r *http.Request) bool {
	if r.Method == http.MethodGet && r.URL.Path == "/report" {
		return writeReport(w)
	}
	id := r.Header.Get(headerAttempt)
	_, limit, _ := strings.Cut(r.Header.Get("X-Umberladder-Token-Usage"), ",")
	tokens, err := strconv.Atoi(limit)
	if err != nil || id == "" {
		fmt.Fprintf(w, "HTTP/1.1 400 Bad Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotExecuted)
		return true
	}
	l.mu.Lock()
	l.ran[id] = s.id
	l.mu.Unlock()
	s.fleet.rec.add("server %s runs %s, deadline %s ms", s.id, id, r.Header.Get("X-Umberladder-Deadline-Ms"))
	time.Sleep(firstEvent)
	if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, id, headerSignature, signature(s.id, id, nil)); err != nil {
		return l.dropped(s, id, 0)
	}
	for n := 1; n <= tokens/4; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
			return l.dropped(s, id, n-1)
		}
		l.mu.Lock()
		l.events[id] = n
		l.mu.Unlock()
		time.Sleep(eventPause)
	}
	if _, err := io.WriteString(w, "0\r\n\r\n"); err != nil {
		return l.dropped(s, id, tokens/4)
	}
	s.fleet.rec.add("server %s has completed %s", s.id, id)
	return true
}

// dropped records that the VM has closed the channel of a run.
func (l *runLog) dropped(s *server, id string, events int) bool {
	l.mu.Lock()
	l.gone[id] = true
	l.mu.Unlock()
	s.fleet.rec.add("server %s drops %s after %d events, its channel is closed", s.id, id, events)
	return false
}

func writeReport(w io.Writer) bool {
	const report = `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":4,"kvUsed":4000,"kvTotal":34288,"handles":0}`
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	return err == nil
}

// generation returns a request for a generation of the given number of tokens.
func generation(id string, tokens int) request {
	return request{
		id: id, method: http.MethodPost, path: "/proposal/2f", timeout: stopDeadline, body: strings.Repeat("p", 600),
		header: fmt.Sprintf("X-Umberladder-Model: m\r\nX-Umberladder-Token-Usage: 1000,%d\r\nX-Umberladder-Prompt-Prefix: 5c1e07a2:79,%s:921\r\n", tokens, id),
	}
}

// stopVM has clients use channels that they have kept, some of them after the SIGTERM.
func (l *runLog) stopVM(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	v := f.vms[0]
	var clients []*client
	for n := range stopClients {
		c, err := dial(v.front)
		if err != nil {
			return nil, err
		}
		defer c.close()
		if resp := c.do(generation(fmt.Sprintf("9c41d07a%08x", n), 4)); resp.status != http.StatusOK || resp.err != nil {
			return nil, fmt.Errorf("a request before the disruption got %d, %w", resp.status, resp.err)
		}
		clients = append(clients, c)
	}
	start := time.Now()
	if trouble {
		f.signal(v, syscall.SIGTERM)
	}
	var mu sync.Mutex
	var violations []string
	var wg sync.WaitGroup
	for n, c := range clients {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Until(start.Add(stopFirst + time.Duration(n)*stopStep))):
		}
		wg.Add(1)
		f.group.Go(func() error {
			defer wg.Done()
			id := fmt.Sprintf("9c41d07b%08x", n)
			sent := time.Since(start)
			f.rec.add("client %s sends, %.3f s after the start of the disruption", id, sent.Seconds())
			resp := c.do(generation(id, stopTokens))
			took := time.Since(start)
			f.rec.add("client %s got %d %d bytes error %v, %.3f s after the start of the disruption", id, resp.status, len(resp.body), resp.err, took.Seconds())
			if s := l.check(id, resp, sent, took); s != "" {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, s)
			}
			return nil
		})
	}
	wg.Wait()
	return violations, nil
}

// check returns how an answer breaks the rule, or "". Requests that were refused with an answer
// or were not passed on are excused.
func (l *runLog) check(id string, resp response, sent, took time.Duration) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp.err == nil || l.ran[id] == "" || sent <= 3*time.Second || took > graceEnd+time.Second {
		return ""
	}
	return fmt.Sprintf("LOST: %s was sent %.3f s after the SIGTERM and run by %s, and its channel ended %.3f s after the SIGTERM without a complete answer, with %d events made",
		id, sent.Seconds(), l.ran[id], took.Seconds(), l.events[id])
}
