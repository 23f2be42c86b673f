// Package rivals has operators race each other's changes through any of the
// VMs, and watches on every VM that accepted changes come into force in time
// and never give way to an older version.
package rivals

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/internal/load/drive"
	"umberladder/internal/load/plan"
	"umberladder/internal/policy/retry"
)

const (
	callTime  = 20 * time.Second
	pollEvery = 50 * time.Millisecond
	askTries  = 60
	askPause  = 500 * time.Millisecond
	// recordEvery is short enough for no change to leave a history unseen.
	recordEvery = time.Second
)

// Report is what came of a race.
type Report struct {
	Accepted   int     `json:"accepted"`
	Conflicts  int     `json:"conflicts"`
	Failed     int     `json:"failed"`           // answered as not applied
	Unknown    int     `json:"answered-unknown"` // settled afterwards by asking
	Unsettled  int     `json:"unsettled"`        // still not known at the end
	Lost       int     `json:"lost-changes"`     // accepted, but not in the history
	Twice      int     `json:"applied-twice"`
	False      int     `json:"false-answers"` // said not applied, but in the history
	Reversions int     `json:"reversions"`
	Absent     int     `json:"not-in-force"` // VMs on which a change was not in force after 20 s
	ForceP50   float64 `json:"in-force-p50-ms"`
	ForceP99   float64 `json:"in-force-p99-ms"`
	ForceMax   float64 `json:"in-force-max-ms"`
}

// Held reports whether no promise was broken.
func (r *Report) Held() bool {
	return r.Lost == 0 && r.Twice == 0 && r.False == 0 && r.Reversions == 0
}

// forceLimit is when an accepted change must be in force everywhere.
const forceLimit = 3 * time.Second

// InTime reports whether changes were in force everywhere in time, but for one
// in a hundred.
func (r *Report) InTime() bool {
	return r.Absent == 0 && r.ForceP99 <= drive.Millis(forceLimit)
}

// Race is a race under way.
type Race struct {
	fleet *plan.Fleet
	http  http.Client
	seed  uint64

	mu       sync.Mutex
	report   Report
	accepted map[string]bool // ids of changes
	refused  map[string]bool
	times    map[string]int // how often a change was in a history at once
	force    *drive.Histogram
}

// New makes a race in a fleet.
func New(f *plan.Fleet, seed uint64) *Race {
	return &Race{
		fleet:    f,
		http:     http.Client{Timeout: callTime},
		seed:     seed,
		accepted: map[string]bool{},
		refused:  map[string]bool{},
		times:    map[string]int{},
		force:    drive.NewHistogram(),
	}
}

// Run races operators until ctx ends, two on each workspace, and returns what
// came of it.
func (r *Race) Run(ctx context.Context) *Report {
	var g errgroup.Group
	for i := range 4 {
		workspace := []string{plan.Installers, plan.Faultdesk}[i%2]
		rng := rand.New(rand.NewPCG(r.seed, uint64(i)))
		g.Go(func() error {
			r.operate(ctx, workspace, i, rng)
			return nil
		})
	}
	var rec errgroup.Group
	recording, stop := context.WithCancel(context.Background())
	rec.Go(func() error {
		r.record(recording)
		return nil
	})
	_ = g.Wait()
	stop()
	_ = rec.Wait()
	r.audit()
	r.report.ForceP50 = drive.Millis(r.force.Percentile(50))
	r.report.ForceP99 = drive.Millis(r.force.Percentile(99))
	r.report.ForceMax = drive.Millis(r.force.Percentile(100))
	return &r.report
}

// operate is one operator: read, change the concurrency limit, write.
func (r *Race) operate(ctx context.Context, workspace string, who int, rng *rand.Rand) {
	path := "/workspaces/" + workspace
	key := plan.OperatorKey(workspace)
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
		vm := r.fleet.Operators[rng.IntN(len(r.fleet.Operators))]
		body, version, err := r.read(vm, path, key)
		if err != nil {
			continue
		}
		id := fmt.Sprintf("c%d-%d-%d", r.seed, who, n)
		changed := withLimit(body, 3000+rng.IntN(1000))
		r.write(vm, path, key, id, version, changed, rng)
	}
}

// concurrency matches the member that operators change.
var concurrency = regexp.MustCompile(`"concurrency":\s*\d+`)

func withLimit(body []byte, n int) string {
	return string(concurrency.ReplaceAll(body, []byte(`"concurrency":`+strconv.Itoa(n))))
}

// reply is an operators' interface's answer.
type reply struct {
	status int
	etag   string
	body   []byte
}

func (r *Race) call(vm plan.Endpoint, method, path, key, body string, headers ...string) (*reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // net/http must not send a change again by itself
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: data}, err
}

var errStatus = errors.New("the answer has another status")

func (r *Race) read(vm plan.Endpoint, path, key string) ([]byte, uint64, error) {
	resp, err := r.call(vm, http.MethodGet, "/v1/settings"+path, key, "")
	if err != nil {
		return nil, 0, err
	}
	if resp.status != http.StatusOK {
		return nil, 0, errStatus
	}
	version, err := strconv.ParseUint(strings.Trim(resp.etag, `"`), 10, 64)
	return resp.body, version, err
}

func (r *Race) write(vm plan.Endpoint, path, key, id string, from uint64, body string, rng *rand.Rand) {
	resp, err := r.call(vm, http.MethodPut, "/v1/settings"+path, key, body,
		"If-Match", strconv.Quote(strconv.FormatUint(from, 10)), "Umberladder-Change", id)
	switch {
	case err == nil && resp.status == http.StatusOK:
		var res struct{ Version uint64 }
		_ = json.Unmarshal(resp.body, &res)
		r.note(func() { r.report.Accepted++; r.accepted[id] = true })
		r.await(path, key, res.Version)
	case err == nil && resp.status == http.StatusPreconditionFailed:
		r.note(func() { r.report.Conflicts++; r.refused[id] = true })
	case err == nil && resp.status == http.StatusServiceUnavailable:
		r.note(func() { r.report.Failed++; r.refused[id] = true })
	default:
		// Unknown, or the VM was killed before a word: ask by the id.
		r.note(func() { r.report.Unknown++ })
		r.settle(path, key, id, from, rng)
	}
}

func (r *Race) note(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Race) settle(path, key, id string, from uint64, rng *rand.Rand) {
	for range askTries {
		vm := r.fleet.Operators[rng.IntN(len(r.fleet.Operators))]
		uri := fmt.Sprintf("/v1/changes/%s?path=%s&from=%d", id, path, from)
		resp, err := r.call(vm, http.MethodGet, uri, key, "")
		if err == nil && resp.status == http.StatusOK {
			var res struct{ Status string }
			_ = json.Unmarshal(resp.body, &res)
			switch res.Status {
			case "applied":
				r.note(func() { r.accepted[id] = true })
				return
			case "not-applied":
				r.note(func() { r.refused[id] = true })
				return
			}
		}
		time.Sleep(askPause)
	}
	r.note(func() { r.report.Unsettled++ })
}

// await measures until the version is in force on every VM that answers, and
// that none goes back meanwhile.
func (r *Race) await(path, key string, version uint64) {
	start := time.Now()
	var g errgroup.Group
	for _, vm := range r.fleet.Operators {
		g.Go(func() error {
			last := uint64(0)
			for time.Since(start) < callTime {
				_, v, err := r.read(vm, path, key)
				switch {
				case err != nil:
					last = 0 // it may be a new process from here on
				case v < last:
					r.note(func() { r.report.Reversions++ })
				case v >= version:
					r.force.Add(time.Since(start))
					return nil
				default:
					last = v
				}
				time.Sleep(pollEvery)
			}
			r.note(func() { r.report.Absent++ })
			return nil
		})
	}
	_ = g.Wait()
}

// record reads the histories until ctx ends, and once more after it: a
// history holds only a document's last changes.
func (r *Race) record(ctx context.Context) {
	for ctx.Err() == nil {
		r.readHistories(1)
		retry.Pause(ctx, recordEvery)
	}
}

func (r *Race) readHistories(tries int) {
	for _, workspace := range []string{plan.Installers, plan.Faultdesk} {
		if times := r.history("/workspaces/"+workspace, plan.OperatorKey(workspace), tries); times != nil {
			r.note(func() {
				for id, n := range times {
					r.times[id] = max(r.times[id], n)
				}
			})
		}
	}
}

// audit holds every answer against the histories.
func (r *Race) audit() {
	r.readHistories(askTries)
	for id := range r.accepted {
		if r.times[id] == 0 {
			r.report.Lost++
		}
	}
	for id := range r.refused {
		if r.times[id] > 0 {
			r.report.False++
		}
	}
	for _, n := range r.times {
		if n > 1 {
			r.report.Twice++
		}
	}
}

// history returns how often each change is in a document's history, or nil if
// no VM can tell.
func (r *Race) history(path, key string, tries int) map[string]int {
	for try := range tries {
		if try > 0 {
			time.Sleep(askPause)
		}
		for _, vm := range r.fleet.Operators {
			resp, err := r.call(vm, http.MethodGet, "/v1/history"+path, key, "")
			if err != nil || resp.status != http.StatusOK {
				continue
			}
			var h struct{ Changes []struct{ Change string } }
			if json.Unmarshal(resp.body, &h) != nil {
				continue
			}
			times := map[string]int{}
			for _, c := range h.Changes {
				times[c.Change]++
			}
			return times
		}
	}
	return nil
}
