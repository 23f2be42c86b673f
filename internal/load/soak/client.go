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

	"umberladder/platform/standin"
)

// call is what a client saw of one call.
type call struct {
	id     string
	path   string
	key    string
	vm     string
	sent   time.Time
	status int // zero: no answer
	whole  bool
	fault  string // a broken promise that the client saw
	body   string // empty: the usual one
	ended  time.Time
	drains string // the server that answered, if it says that it drains
}

// patience is how long a client waits for an answer.
const patience = 4 * time.Second

// send makes one call and reads the whole answer.
func (r *run) send(ctx context.Context, http1 *http.Client, c *call, front string) {
	ctx, cancel := context.WithTimeout(ctx, patience+time.Second)
	defer cancel()
	req, err := standin.NewRequest(ctx, front, c.path, c.id, c.key, patience)
	if err != nil {
		c.fault = err.Error()
		return
	}
	if c.body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(c.body)), int64(len(c.body))
	}
	c.sent = time.Now()
	resp, err := http1.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	c.status, c.ended = resp.StatusCode, time.Now()
	if runs := r.ledger.Runs(c.id); resp.Header.Get("Server-Leaving") == "1" && len(runs) > 0 {
		c.drains = runs[len(runs)-1].Server
	}
	if c.status != http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
		c.whole = err == nil
		return
	}
	if !standin.Signed(resp, c.id) {
		c.fault = "the answer is not signed as the server's"
	}
	if strings.HasPrefix(c.path, "/stream/") {
		c.readStream(resp.Body)
		return
	}
	b, err := io.ReadAll(resp.Body)
	c.whole = err == nil
	if c.whole && string(b) != "answer to "+c.id {
		c.fault = fmt.Sprintf("the answer reads %.60q", b)
	}
}

// readStream checks that events come once, in order, and all before the end.
func (c *call) readStream(body io.Reader) {
	s := bufio.NewScanner(body)
	last := 0
	for s.Scan() {
		line := s.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n := 0
			if _, err := fmt.Sscan(v, &n); err != nil || n != last+1 {
				c.fault = fmt.Sprintf("event %s after %d", v, last)
			}
			last = n
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok && v != c.id {
			c.fault = "an event of " + v
		}
	}
	c.whole = s.Err() == nil
	if c.whole && last != standin.Events {
		c.fault = fmt.Sprintf("the stream ends as whole after event %d", last)
	}
}

// client calls VMs until ctx ends. It keeps its connection until the VM closes it.
func (r *run) client(ctx context.Context, n int) error {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(n)))
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer kept.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		v := r.vms[rng.IntN(len(r.vms))]
		c := &call{
			id:   fmt.Sprintf("s%d-c%d-%d", r.cfg.Seed, n, i),
			path: []string{"/stream/", "/once/", "/once/", "/get/", "/get/"}[rng.IntN(5)] + "x",
			key:  fmt.Sprintf("key-%d", rng.IntN(keys)),
			vm:   v.name,
		}
		r.send(ctx, kept, c, v.front)
		if !errors.Is(ctx.Err(), context.Canceled) {
			r.done(c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
	}
	return nil
}
