package rig2

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/platform/fake"
)

// prefillTime is how long an engine reads a prompt before its first event.
const prefillTime = 200 * time.Millisecond

// Engine describes a stand-in for a model server.
type Engine struct {
	ID       string
	Events   int           // of a complete stream
	Interval time.Duration // between two events
	Version  string        // of its software; empty: v1
	Drops    bool          // it drops a run when its channel closes, as most servers do
	// If LossEvery is not zero, the answer of one run in LossEvery is lost after event LossAfter:
	// its channel is reset.
	LossEvery int
	LossAfter int
}

// EngineRun is one run of a request at an engine.
type EngineRun struct {
	Engine  string
	After   int // the event after which it began
	Arrived time.Time
	First   time.Time // its first event
	Last    time.Time // the last time at which the engine worked on it
	Made    int       // events
	Ended   string    // how it ended; empty: it has not
	stop    chan struct{}
	once    sync.Once
}

// Work records the runs of all engines.
type Work struct {
	rec  *Record
	mu   sync.Mutex
	runs map[string][]*EngineRun
}

// NewWork returns a Work without runs.
func NewWork(rec *Record) *Work { return &Work{rec: rec, runs: make(map[string][]*EngineRun)} }

// Runs returns copies of the runs of each request.
func (w *Work) Runs() map[string][]*EngineRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string][]*EngineRun, len(w.runs))
	for id, runs := range w.runs {
		for _, r := range runs {
			out[id] = append(out[id], &EngineRun{Engine: r.Engine, After: r.After, Arrived: r.Arrived, First: r.First, Last: r.Last, Made: r.Made, Ended: r.Ended})
		}
	}
	return out
}

func (w *Work) begin(id string, r *EngineRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], r)
}

func (w *Work) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// RunningEngine is an Engine that runs. It stops a run at once when it is ordered to move it.
type RunningEngine struct {
	Engine
	work  *Work
	store *fake.Store
	ln    net.Listener
	count atomic.Int64 // runs

	mu        sync.Mutex
	withdrawn bool
	conns     map[net.Conn]struct{}
}

// StartEngine starts an engine, which writes its entry in the store.
func StartEngine(s *fake.Store, w *Work, cfg Engine) (*RunningEngine, error) {
	if cfg.Version == "" {
		cfg.Version = fake.DefaultVersion
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &RunningEngine{Engine: cfg, work: w, store: s, ln: ln, conns: make(map[net.Conn]struct{})}
	Go(func() { e.serve(ln) })
	Go(func() {
		for n := 1; e.register(n); n++ {
			time.Sleep(Heartbeat)
		}
	})
	return e, nil
}

// register writes the engine's entry, and reports false once it is withdrawn.
func (e *RunningEngine) register(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.withdrawn {
		e.store.Put("servers/"+e.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","version":%q,"slots":24,"state":"ready","coldRemainingMs":0,"sequence":%d}`,
			fake.EngineService, e.ln.Addr(), e.Version, n))
	}
	return !e.withdrawn
}

// Withdraw removes the engine's entry. It goes on serving.
func (e *RunningEngine) Withdraw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawn = true
	e.store.RemoveServer(e.ID)
}

// Exit ends the engine: it closes its listener and resets its connections.
func (e *RunningEngine) Exit() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		(&channel{conn: c}).reset()
	}
}

func (e *RunningEngine) track(c net.Conn, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if open {
		e.conns[c] = struct{}{}
	} else {
		delete(e.conns, c)
	}
}

func (e *RunningEngine) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		Go(func() { e.handle(c) })
	}
}

func (e *RunningEngine) handle(c net.Conn) {
	e.track(c, true)
	defer e.track(c, false)
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	switch {
	case req.URL.Path == "/kv-move":
		e.move(c, body)
	case req.URL.Path == "/report":
		respond(c, http.StatusOK, "", []byte(`{"stage":"both","models":[],"busy":false,"sequence":1,"queued":0,"running":1,"kvUsed":0,"kvTotal":30000,"handles":0}`))
	case req.Method == http.MethodDelete:
		respond(c, http.StatusOK, "", nil)
	case req.Header.Get("X-Umberladder-Expect-Instance") != e.ID:
		respond(c, http.StatusMisdirectedRequest, "X-Umberladder-Not-Executed: 1\r\nX-Umberladder-Instance-Id: "+e.ID+"\r\n", nil)
	default:
		e.run(c, req)
	}
}

func respond(w io.Writer, status int, fields string, body []byte) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(body), body)
}

// move stops a run if its KV cache is to be copied for the last time.
func (e *RunningEngine) move(c io.Writer, body []byte) {
	var order struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(bytes.NewReader(body)).Decode(&order) != nil {
		respond(c, http.StatusBadRequest, "", nil)
		return
	}
	var run *EngineRun
	e.work.change(func() {
		for _, r := range e.work.runs[order.ID] {
			if r.Engine == e.ID && r.Ended == "" {
				run = r
			}
		}
	})
	if run == nil {
		respond(c, http.StatusNotFound, "", nil)
		return
	}
	e.work.rec.Printf("%s is ordered to move %s, last %t", e.ID, order.ID, order.Last)
	if order.Last {
		run.once.Do(func() { close(run.stop) })
	}
	respond(c, http.StatusOK, "", fmt.Appendf(nil, `{"handle":%q,"created":%d}`, order.ID, run.Made))
}

// run works on a request and sends its events.
func (e *RunningEngine) run(c net.Conn, req *http.Request) {
	id := req.Header.Get("X-Umberladder-Attempt-Id")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r := &EngineRun{Engine: e.ID, After: after, Arrived: time.Now(), stop: make(chan struct{})}
	e.work.begin(id, r)
	lost := e.LossEvery > 0 && e.count.Add(1)%int64(e.LossEvery) == int64(e.LossEvery/2)
	time.Sleep(prefillTime)
	w := &channel{conn: c}
	w.print("HTTP/1.1 200 OK\r\nX-Umberladder-Attempt-Id: %s\r\nX-Umberladder-Response-Signature: of-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := after + 1; n <= e.Events; n++ {
		select {
		case <-r.stop:
			e.end(r, "stopped by order")
			return
		case <-time.After(e.Interval):
		}
		e.work.change(func() {
			r.Last = time.Now()
			r.Made++
			if r.First.IsZero() {
				r.First = r.Last
			}
		})
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		w.print("%x\r\n%s\r\n", len(event), event)
		if lost && n-after == e.LossAfter {
			e.work.rec.Printf("%s loses the answer to %s: its channel is reset", e.ID, id)
			w.reset()
		}
		if w.ended && e.Drops {
			e.end(r, "dropped")
			return
		}
	}
	w.print("0\r\n\r\n")
	e.end(r, "complete")
}

func (e *RunningEngine) end(r *EngineRun, how string) { e.work.change(func() { r.Ended = how }) }

// channel is the connection on which a run's answer is sent. What is written after its end is
// dropped.
type channel struct {
	conn  net.Conn
	ended bool
}

func (c *channel) print(format string, args ...any) {
	if c.ended {
		return
	}
	if _, err := fmt.Fprintf(c.conn, format, args...); err != nil {
		c.ended = true
	}
}

func (c *channel) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
	c.ended = true
}
