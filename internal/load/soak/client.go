package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"umberladder/platform/fake"
)

// call records one call as its client saw it.
type call struct {
	id             string
	path           string
	key            string
	vm             string
	sentAt         time.Time
	status         int    // zero: no response
	complete       bool   // the response body was read to its end
	violation      string // a violated guarantee that the client saw
	body           string // of the request; empty: the default body
	respondedAt    time.Time
	drainingServer string   // the server that responded, if its response announced a drain
	lastEvent      int      // number of the last event of a stream that the client has
	leaveAfter     int      // the client leaves a stream after this event; zero: never
	takeUp         *takeUp  // nil: the call takes up no stream
	prompt         []string // parts of its prompt; nil: it has none
	fatalPart      string   // the part that crashes servers; empty: none does
	refusal        string   // body of a refusal
	timedOut       bool     // the client left after its timeout, before the end of the soak
}

// clientTimeout is how long a client waits for a response.
const clientTimeout = 4 * time.Second

// send makes one call and reads the complete response.
func (r *run) send(soakCtx context.Context, httpClient *http.Client, c *call, addr string) {
	ctx, cancel := context.WithTimeout(soakCtx, clientTimeout+time.Second)
	defer cancel()
	req, err := fake.NewRequest(ctx, addr, c.path, c.id, c.key, clientTimeout)
	if err != nil {
		c.violation = err.Error()
		return
	}
	if c.body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(c.body)), int64(len(c.body))
	}
	if c.prompt != nil {
		fake.SetPrompt(req, c.prompt...)
	}
	if t := c.takeUp; t != nil {
		fake.Resume(req, t.first, t.last)
		c.lastEvent = t.last
	}
	c.sentAt = time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		c.timedOut = errors.Is(err, context.DeadlineExceeded) && soakCtx.Err() == nil
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.respondedAt = resp.StatusCode, time.Now()
	if runs := r.runLog.Runs(c.id); resp.Header.Get("Server-Leaving") == "1" && len(runs) > 0 {
		c.drainingServer = runs[len(runs)-1].Server
	}
	if c.status != http.StatusOK {
		b, err := io.ReadAll(resp.Body)
		c.complete, c.refusal = err == nil, string(b)
		return
	}
	if !fake.Signed(resp, c.id) {
		c.violation = "the response does not have the server's signature"
	}
	if fake.IsStream(c.path) {
		c.readStream(resp.Body)
		return
	}
	b, err := io.ReadAll(resp.Body)
	c.complete = err == nil
	if c.complete && string(b) != "answer to "+c.id {
		c.violation = fmt.Sprintf("the response body is %.60q", b)
	}
}

// readStream reads a stream and checks that every event arrives exactly once and
// in order.
func (c *call) readStream(body io.Reader) {
	s := bufio.NewScanner(body)
	for s.Scan() {
		line := s.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n := 0
			if _, err := fmt.Sscan(v, &n); err != nil || n != c.lastEvent+1 {
				c.violation = fmt.Sprintf("event %s after %d", v, c.lastEvent)
			}
			c.lastEvent = n
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok && v != c.id {
			c.violation = "event of another request: " + v
		}
		if line == "" && c.leaveAfter > 0 && c.lastEvent >= c.leaveAfter && c.lastEvent < fake.StreamEvents {
			return
		}
	}
	c.complete = s.Err() == nil
	if c.complete && c.lastEvent != fake.StreamEvents {
		c.violation = fmt.Sprintf("the stream ended without an error after event %d", c.lastEvent)
	}
}

// paths returns the paths of the calls that clients send.
func (r *run) paths() []string {
	paths := []string{"/stream/", "/once/", "/once/", "/get/", "/get/"}
	if r.cfg.Versions {
		paths = append(paths, "/resume/", "/resume/")
	}
	return paths
}

// runClient sends calls to random VMs until ctx ends. It keeps its connections
// open until the VM closes them.
func (r *run) runClient(ctx context.Context, n int) error {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(n)))
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer httpClient.CloseIdleConnections()
	paths := r.paths()
	for i := 0; ctx.Err() == nil; i++ {
		v := r.chooseVM(rng, httpClient)
		c := &call{
			id:   fmt.Sprintf("s%d-c%d-%d", r.cfg.Seed, n, i),
			path: paths[rng.IntN(len(paths))] + "x",
			key:  r.chooseKey(rng),
			vm:   v.name,
		}
		if r.cfg.Parts {
			c.prompt = soundPrompt(rng, c.id)
		}
		canTakeUp := strings.HasPrefix(c.path, "/resume/")
		if canTakeUp && rng.IntN(2) == 0 {
			c.leaveAfter = 1 + rng.IntN(fake.StreamEvents)
		}
		r.send(ctx, httpClient, c, v.clientAddr)
		if !errors.Is(ctx.Err(), context.Canceled) {
			r.addCall(c)
		}
		if canTakeUp {
			r.takeStreamUp(ctx, rng, httpClient, c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
	}
	return nil
}
