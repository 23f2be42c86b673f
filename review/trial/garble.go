package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Doses of the disruption: one of the two servers spoils one in fifty of its answers. Instead of
// them it sends a line with the number of the job, counted from its start.
const (
	garbleEvery    = 50
	garbleOffset   = 21
	garbleRequests = 1100
	garbleInterval = 22 * time.Millisecond
	garbleText     = "job %d aborted\r\n\r\n"
)

// garbleLog records what the servers ran and answered.
type garbleLog struct {
	mu      sync.Mutex
	ran     map[string][]string // by attempt: the servers that ran it
	answers map[string]string   // by attempt: signature of the answer
	texts   map[string]string   // by attempt: what was sent instead of an answer
	served  map[string]int      // by server
}

func runGarble(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	log := &garbleLog{ran: make(map[string][]string), answers: make(map[string]string), texts: make(map[string]string), served: make(map[string]int)}
	for _, id := range []string{"i-sound", "i-faulty"} {
		if err := f.startServer(ctx, id, "yard-app", 6, func(s *server) handler {
			return func(w net.Conn, r *http.Request) bool {
				return log.serve(s, w, r, trouble && id == "i-faulty")
			}
		}); err != nil {
			return nil, err
		}
	}
	f.store.Put("op/config", []byte(garbleConfig))
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	return log.book(ctx, f)
}

const garbleConfig = `{"version":7,"routes":[
{"name":"r-ping","hostname":"crew.example","prefix":"/ping/","kind":"non_idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"yard-app","maxAttempts":2,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"yard-app","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}`

// serve runs a booking and answers it. A faulty server spoils some of its answers.
func (l *garbleLog) serve(s *server, w net.Conn, r *http.Request, faulty bool) bool {
	id := r.Header.Get(headerAttempt)
	time.Sleep(15 * time.Millisecond)
	body := []byte(strings.Repeat("booked "+id+"\n", 30))
	l.mu.Lock()
	l.served[s.id]++
	n := l.served[s.id]
	l.ran[id] = append(l.ran[id], s.id)
	text := ""
	if faulty && n%garbleEvery == garbleOffset {
		text = fmt.Sprintf(garbleText, n)
		l.texts[id] = text
	} else {
		l.answers[id] = signature(s.id, id, body)
	}
	l.mu.Unlock()
	s.fleet.rec.add("server %s runs %s", s.id, id)
	if text == "" {
		return s.answer(w, id, http.StatusOK, body)
	}
	s.fleet.rec.add("server %s sends %q instead of an answer to %s", s.id, text, id)
	_, _ = io.WriteString(w, text)
	return false
}

// book sends bookings and checks their answers.
func (l *garbleLog) book(ctx context.Context, f *fleet) ([]string, error) {
	var mu sync.Mutex
	var violations []string
	var wg sync.WaitGroup
	for n := range garbleRequests {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		q := request{id: fmt.Sprintf("9c41d07b%08x", n), method: http.MethodPost, path: "/ping/2f", timeout: 600 * time.Millisecond, body: strings.Repeat("b", 600)}
		front := f.vms[n%len(f.vms)].front
		wg.Add(1)
		f.group.Go(func() error {
			defer wg.Done()
			resp := send(front, q)
			f.rec.add("client %s got %d %d bytes signature %q error %v", q.id, resp.status, len(resp.body), resp.header.Get(headerSignature), resp.err)
			if v := l.check(q.id, resp); v != "" {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, v)
			}
			return nil
		})
		time.Sleep(garbleInterval)
	}
	wg.Wait()
	return violations, nil
}

// check returns how an answer breaks a rule, or "".
func (l *garbleLog) check(id string, resp response) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	sig := resp.header.Get(headerSignature)
	switch {
	case len(l.ran[id]) > 1:
		return fmt.Sprintf("TWICE: %s was run by %v, the first of which sent %q", id, l.ran[id], l.texts[id])
	case resp.err != nil:
		return ""
	case resp.status/100 == 2 && (sig == "" || sig != l.answers[id]):
		return fmt.Sprintf("MIXED: %s got %d with signature %q, its server %v sent %q", id, resp.status, sig, l.ran[id], l.texts[id])
	case (resp.status == 503 || resp.status == 429 || resp.status == 408 || resp.status == 421) && len(l.ran[id]) > 0:
		return fmt.Sprintf("REFUSED: %s got %d, its server %v ran it and sent %q", id, resp.status, l.ran[id], l.texts[id])
	}
	return ""
}
