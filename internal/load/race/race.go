// Package race runs operators that update settings concurrently through random
// VMs, and checks on every VM that accepted changes come into force in time and
// are never replaced by an older version.
package race

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
	callTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	statusTries  = 60
	statusPause  = 500 * time.Millisecond
	// historyInterval is short enough that every change is seen before later changes
	// push it out of the history.
	historyInterval = time.Second
)

// Report is the result of a run.
type Report struct {
	Accepted       int     `json:"accepted"`
	Conflicts      int     `json:"conflicts"`
	Failed         int     `json:"failed"`           // response: not applied
	OutcomeUnknown int     `json:"answered-unknown"` // outcome unknown at first; queried afterwards
	Unresolved     int     `json:"unsettled"`        // outcome still unknown at the end
	Lost           int     `json:"lost-changes"`     // accepted, but not in the history
	AppliedTwice   int     `json:"applied-twice"`
	FalseResponses int     `json:"false-answers"` // response: not applied, but in the history
	Reversions     int     `json:"reversions"`
	NotInForce     int     `json:"not-in-force"` // changes not in force on a VM 20 s after acceptance, counted per VM
	InForceP50     float64 `json:"in-force-p50-ms"`
	InForceP99     float64 `json:"in-force-p99-ms"`
	InForceMax     float64 `json:"in-force-max-ms"`
}

// Passed reports whether no guarantee was violated.
func (r *Report) Passed() bool {
	return r.Lost == 0 && r.AppliedTwice == 0 && r.FalseResponses == 0 && r.Reversions == 0
}

// inForceBound is how long after its acceptance a change must be in force on all
// VMs.
const inForceBound = 3 * time.Second

// InTime reports whether 99% of the changes were in force on a VM within
// inForceBound, and all within 20 s.
func (r *Report) InTime() bool {
	return r.NotInForce == 0 && r.InForceP99 <= drive.Millis(inForceBound)
}

// Runner runs concurrent settings updates.
type Runner struct {
	fleet *plan.Fleet
	http  http.Client
	seed  uint64

	mu            sync.Mutex
	report        Report
	accepted      map[string]bool // IDs of accepted changes
	refused       map[string]bool
	historyCounts map[string]int // by change ID: largest number of occurrences in one history
	inForce       *drive.Histogram
}

// New returns a runner for a fleet.
func New(f *plan.Fleet, seed uint64) *Runner {
	return &Runner{
		fleet:         f,
		http:          http.Client{Timeout: callTimeout},
		seed:          seed,
		accepted:      map[string]bool{},
		refused:       map[string]bool{},
		historyCounts: map[string]int{},
		inForce:       drive.NewHistogram(),
	}
}

// Run runs four operators, two per workspace, until ctx ends, and returns the
// checked result.
func (r *Runner) Run(ctx context.Context) *Report {
	var g errgroup.Group
	for i := range 4 {
		workspace := []string{plan.Installers, plan.FaultDesk}[i%2]
		rng := rand.New(rand.NewPCG(r.seed, uint64(i)))
		g.Go(func() error {
			r.runOperator(ctx, workspace, i, rng)
			return nil
		})
	}
	var poller errgroup.Group
	pollCtx, stop := context.WithCancel(context.Background())
	poller.Go(func() error {
		r.pollHistories(pollCtx)
		return nil
	})
	_ = g.Wait()
	stop()
	_ = poller.Wait()
	r.audit()
	r.report.InForceP50 = drive.Millis(r.inForce.Percentile(50))
	r.report.InForceP99 = drive.Millis(r.inForce.Percentile(99))
	r.report.InForceMax = drive.Millis(r.inForce.Percentile(100))
	return &r.report
}

// runOperator simulates one operator that repeatedly reads the settings of a
// workspace, changes the concurrency limit, and writes them back.
func (r *Runner) runOperator(ctx context.Context, workspace string, operator int, rng *rand.Rand) {
	path := "/workspaces/" + workspace
	key := plan.OperatorKey(workspace)
	for seq := 0; ctx.Err() == nil; seq++ {
		time.Sleep(time.Duration(100+rng.IntN(900)) * time.Millisecond)
		vm := r.fleet.Operators[rng.IntN(len(r.fleet.Operators))]
		body, version, err := r.readSettings(vm, path, key)
		if err != nil {
			continue
		}
		id := fmt.Sprintf("c%d-%d-%d", r.seed, operator, seq)
		changed := withConcurrency(body, 3000+rng.IntN(1000))
		r.writeSettings(vm, path, key, id, version, changed, rng)
	}
}

// concurrencyRE matches the member of the settings document that operators change.
var concurrencyRE = regexp.MustCompile(`"concurrency":\s*\d+`)

func withConcurrency(body []byte, n int) string {
	return string(concurrencyRE.ReplaceAll(body, []byte(`"concurrency":`+strconv.Itoa(n))))
}

// response is a response of the operator API.
type response struct {
	status int
	etag   string
	body   []byte
}

func (r *Runner) call(vm plan.Endpoint, method, path, key, body string, headers ...string) (*response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Address.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keep net/http from retrying a change
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
	return &response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: data}, err
}

var errStatus = errors.New("unexpected response status")

func (r *Runner) readSettings(vm plan.Endpoint, path, key string) ([]byte, uint64, error) {
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

func (r *Runner) writeSettings(vm plan.Endpoint, path, key, id string, baseVersion uint64, body string, rng *rand.Rand) {
	resp, err := r.call(vm, http.MethodPut, "/v1/settings"+path, key, body,
		"If-Match", strconv.Quote(strconv.FormatUint(baseVersion, 10)), "Umberladder-Change", id)
	switch {
	case err == nil && resp.status == http.StatusOK:
		var res struct{ Version uint64 }
		_ = json.Unmarshal(resp.body, &res)
		r.locked(func() { r.report.Accepted++; r.accepted[id] = true })
		r.awaitInForce(path, key, res.Version)
	case err == nil && resp.status == http.StatusPreconditionFailed:
		r.locked(func() { r.report.Conflicts++; r.refused[id] = true })
	case err == nil && resp.status == http.StatusServiceUnavailable:
		r.locked(func() { r.report.Failed++; r.refused[id] = true })
	default:
		// The outcome is unknown, or the VM was killed before it responded: query the
		// status of the change.
		r.locked(func() { r.report.OutcomeUnknown++ })
		r.resolveOutcome(path, key, id, baseVersion, rng)
	}
}

func (r *Runner) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *Runner) resolveOutcome(path, key, id string, baseVersion uint64, rng *rand.Rand) {
	for range statusTries {
		vm := r.fleet.Operators[rng.IntN(len(r.fleet.Operators))]
		uri := fmt.Sprintf("/v1/changes/%s?path=%s&from=%d", id, path, baseVersion)
		resp, err := r.call(vm, http.MethodGet, uri, key, "")
		if err == nil && resp.status == http.StatusOK {
			var res struct{ Status string }
			_ = json.Unmarshal(resp.body, &res)
			switch res.Status {
			case "applied":
				r.locked(func() { r.accepted[id] = true })
				return
			case "not-applied":
				r.locked(func() { r.refused[id] = true })
				return
			}
		}
		time.Sleep(statusPause)
	}
	r.locked(func() { r.report.Unresolved++ })
}

// awaitInForce measures how long the version takes to be in force on each VM, and
// counts VMs that revert to an older version meanwhile.
func (r *Runner) awaitInForce(path, key string, version uint64) {
	start := time.Now()
	var g errgroup.Group
	for _, vm := range r.fleet.Operators {
		g.Go(func() error {
			last := uint64(0)
			for time.Since(start) < callTimeout {
				_, v, err := r.readSettings(vm, path, key)
				switch {
				case err != nil:
					last = 0 // the VM may have been restarted
				case v < last:
					r.locked(func() { r.report.Reversions++ })
				case v >= version:
					r.inForce.Add(time.Since(start))
					return nil
				default:
					last = v
				}
				time.Sleep(pollInterval)
			}
			r.locked(func() { r.report.NotInForce++ })
			return nil
		})
	}
	_ = g.Wait()
}

// pollHistories reads the histories periodically until ctx ends, because a history
// holds only a document's last changes.
func (r *Runner) pollHistories(ctx context.Context) {
	for ctx.Err() == nil {
		r.readHistories(1)
		retry.Sleep(ctx, historyInterval)
	}
}

func (r *Runner) readHistories(tries int) {
	for _, workspace := range []string{plan.Installers, plan.FaultDesk} {
		if counts := r.changeCounts("/workspaces/"+workspace, plan.OperatorKey(workspace), tries); counts != nil {
			r.locked(func() {
				for id, n := range counts {
					r.historyCounts[id] = max(r.historyCounts[id], n)
				}
			})
		}
	}
}

// audit reads the histories once more and checks every response against them.
func (r *Runner) audit() {
	r.readHistories(statusTries)
	for id := range r.accepted {
		if r.historyCounts[id] == 0 {
			r.report.Lost++
		}
	}
	for id := range r.refused {
		if r.historyCounts[id] > 0 {
			r.report.FalseResponses++
		}
	}
	for _, n := range r.historyCounts {
		if n > 1 {
			r.report.AppliedTwice++
		}
	}
}

// changeCounts returns how often each change occurs in a document's history, or
// nil if no VM returns the history.
func (r *Runner) changeCounts(path, key string, tries int) map[string]int {
	for try := range tries {
		if try > 0 {
			time.Sleep(statusPause)
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
			counts := map[string]int{}
			for _, c := range h.Changes {
				counts[c.Change]++
			}
			return counts
		}
	}
	return nil
}
