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
	"time"
)

const (
	// lostAfter is how many events of an answer reach the VM before the rest of it is lost.
	lostAfter = 10
	// Doses of the disruption: two of four servers lose one in lostEvery of their answers, for
	// lostFor.
	lostEvery = 20
	lostFor   = 4 * time.Second
	// resumeEvents is the number of events of a generation, of four tokens each.
	resumeEvents   = 50
	resumePause    = 50 * time.Millisecond
	resumeDeadline = 6 * time.Second
	resumeStart    = time.Second // of the disruption
	resumeRequests = 150
	resumeInterval = 40 * time.Millisecond
	// stillAtWork is how long the server before may go on after another has begun.
	stillAtWork = 400 * time.Millisecond
)

var resumeConfig = strings.NewReplacer(`"kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1`, `"kind":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0`,
	`"maxAttempts":1`, `"maxAttempts":2`, `"resumable":false`, `"resumable":true`).Replace(stopConfig)

// part is one server's work on a request.
type part struct {
	server     string
	after      int // the last event that the consumer had
	start, end time.Time
}

// partLog records the servers' work on requests.
type partLog struct {
	mu       sync.Mutex
	parts    map[string][]*part // by attempt
	answers  map[string]int     // by server, since the start of the disruption
	from, to time.Time          // of the disruption
}

func runResume(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	log := &partLog{parts: make(map[string][]*part), answers: make(map[string]int)}
	for n := range 4 {
		lossy := trouble && n%2 == 1
		if err := f.startServer(ctx, fmt.Sprintf("i-engine-%d", n+1), "drafter", 24, func(s *server) handler {
			return func(w net.Conn, r *http.Request) bool { return log.generate(s, w, r, lossy) }
		}); err != nil {
			return nil, err
		}
	}
	f.store.Put("op/config", []byte(resumeConfig))
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	log.mu.Lock()
	log.from = time.Now().Add(resumeStart)
	log.to = log.from.Add(lostFor)
	log.mu.Unlock()
	var wg sync.WaitGroup
	for n := range resumeRequests {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		wg.Add(1)
		f.group.Go(func() error {
			defer wg.Done()
			q := generation(fmt.Sprintf("9c41d07c%08x", n), 4*resumeEvents)
			q.timeout = resumeDeadline
			resp := send(f.vms[n%len(f.vms)].front, q)
			f.rec.add("client %s got %d with %d events, error %v", q.id, resp.status, strings.Count(string(resp.body), "id: "), resp.err)
			return nil
		})
		time.Sleep(resumeInterval)
	}
	wg.Wait()
	time.Sleep(resumeEvents * resumePause) // lost answers are still being made
	return log.check(), nil
}

// begin records that a server starts to work on an attempt, and whether its answer gets lost.
func (l *partLog) begin(s *server, id string, after int, lossy bool) (p *part, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	p = &part{server: s.id, after: after, start: now, end: now}
	l.parts[id] = append(l.parts[id], p)
	if lossy && now.After(l.from) && now.Before(l.to) {
		l.answers[s.id]++
		lost = l.answers[s.id]%lostEvery == 0
	}
	s.fleet.rec.add("server %s begins %s after event %d", s.id, id, after)
	return p, lost
}

// generate runs a generation from the event after that in Last-Event-Id. If the answer is lost,
// the server resets the channel after some events and makes the others all the same.
func (l *partLog) generate(s *server, w net.Conn, r *http.Request, lossy bool) bool {
	if r.Method == http.MethodGet && r.URL.Path == "/report" {
		return writeReport(w)
	}
	id := r.Header.Get(headerAttempt)
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	p, lost := l.begin(s, id, after, lossy)
	open := true
	write := func(text string) {
		if _, err := io.WriteString(w, text); err != nil {
			open = false
		}
	}
	write(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerAttempt, id, headerSignature, signature(s.id, id, nil)))
	for n := after + 1; n <= resumeEvents && (open || lost); n++ {
		time.Sleep(resumePause)
		l.mu.Lock()
		p.end = time.Now()
		l.mu.Unlock()
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		switch {
		case open && lost && n == after+lostAfter:
			s.fleet.rec.add("server %s loses its answer to %s after event %d: the channel is reset, the run goes on", s.id, id, n-1)
			resetConn(w)
			open = false
		case open:
			write(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		}
	}
	s.fleet.rec.add("server %s ends %s", s.id, id)
	if !open {
		return false
	}
	write("0\r\n\r\n")
	return open
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// check returns the requests that went on at a server while the one before was still at work on
// them stillAtWork later.
func (l *partLog) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, parts := range l.parts {
		for n := 1; n < len(parts); n++ {
			before, next := parts[n-1], parts[n]
			if over := before.end.Sub(next.start); over > stillAtWork && next.after > 0 {
				out = append(out, fmt.Sprintf("TWICE: %s went on at %s after event %d, and %s was at work on it for %.3f s more", id, next.server, next.after, before.server, over.Seconds()))
			}
		}
	}
	return out
}
