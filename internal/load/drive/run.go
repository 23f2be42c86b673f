package drive

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/load/picker"
	"umberladder/internal/load/plan"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond) // in microseconds
	histogramDigits = 3
	maxExamples     = 5
)

// Histogram is a histogram of durations. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// Add records a duration.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Percentile returns the q-th percentile, with q from 0 to 100.
func (h *Histogram) Percentile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtPercentile(q)) * time.Microsecond
}

// Run holds the results of one run.
type Run struct {
	Results    []Result
	Gaps       *Histogram // time between tokens
	FirstToken *Histogram // time to the first token of long generations
	Urgent     *Histogram // total time of urgent requests
	Elapsed    time.Duration
}

// Send sends each request at its time and waits for all outcomes.
func Send(ctx context.Context, vms []plan.Endpoint, requests []Request, seed uint64) *Run {
	r := &Run{Results: make([]Result, len(requests)), Gaps: NewHistogram(), FirstToken: NewHistogram(), Urgent: NewHistogram()}
	vmPicker := picker.New(vms, seed)
	c := NewClient(vmPicker, r.Gaps.Add)
	defer c.Close()
	probeCtx, stopProbes := context.WithCancel(ctx)
	var balancer errgroup.Group
	balancer.Go(func() error { return vmPicker.Run(probeCtx) })
	defer func() {
		stopProbes()
		_ = balancer.Wait()
	}()
	start := time.Now()
	var g errgroup.Group
	for i, req := range requests {
		select {
		case <-time.After(time.Until(start.Add(req.At))):
		case <-ctx.Done():
		}
		g.Go(func() error {
			r.Results[i] = c.Do(ctx, req)
			r.recordLatency(&r.Results[i])
			return nil
		})
	}
	_ = g.Wait()
	r.Elapsed = time.Since(start)
	return r
}

func (r *Run) recordLatency(res *Result) {
	if res.Outcome != Complete {
		return
	}
	if res.Request.Urgent || res.Request.Plain {
		r.Urgent.Add(res.Total)
		return
	}
	if res.Request.Stream {
		r.FirstToken.Add(res.TimeToFirst)
	}
}

// ConnectionBreaks returns the number of requests with at least one interrupted
// connection.
func (r *Run) ConnectionBreaks() int {
	n := 0
	for i := range r.Results {
		if res := &r.Results[i]; res.Attempts > 1 || res.Resumes > 0 || res.Outcome == Interrupted {
			n++
		}
	}
	return n
}

// Summary is the result of a run, printed as one line of JSON.
type Summary struct {
	Requests      int            `json:"requests"`
	Complete      int            `json:"complete"`
	Refused       map[string]int `json:"refused"`
	MaybeRan      int            `json:"maybe"`
	PartlyRan     int            `json:"partial"`
	Interrupted   int            `json:"broken"`
	Lost          int            `json:"lost"`
	Duplicated    int            `json:"doubled"`
	Wrong         int            `json:"wrong"`
	FalseNotRun   int            `json:"false-not-run"`
	RetriedLater  int            `json:"came-back"` // refused requests that were retried after Retry-After
	RetriedServed int            `json:"came-back-served"`
	Resumes       int            `json:"resumes"`
	Tokens        int            `json:"tokens"`
	GapP50        float64        `json:"token-gap-p50-ms"`
	GapP99        float64        `json:"token-gap-p99-ms"`
	FirstP99      float64        `json:"first-token-p99-ms"`
	UrgentP99     float64        `json:"urgent-p99-ms"`
	Seconds       float64        `json:"seconds"`
	Examples      []string       `json:"examples,omitempty"`
}

// Summarise checks the results against runs, which counts what the backend
// servers ran under each tag, and sums them up.
func (r *Run) Summarise(runs map[string]int) Summary {
	s := Summary{
		Requests:  len(r.Results),
		Refused:   map[string]int{},
		GapP50:    Millis(r.Gaps.Percentile(50)),
		GapP99:    Millis(r.Gaps.Percentile(99)),
		FirstP99:  Millis(r.FirstToken.Percentile(99)),
		UrgentP99: Millis(r.Urgent.Percentile(99)),
		Seconds:   r.Elapsed.Seconds(),
	}
	for i := range r.Results {
		s.add(&r.Results[i], runs)
	}
	return s
}

// Millis returns d in milliseconds, with microsecond resolution.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (s *Summary) add(res *Result, runs map[string]int) {
	s.Resumes += res.Resumes
	s.Tokens += res.Tokens
	switch res.Outcome {
	case Complete:
		s.Complete++
	case Refused:
		s.countRefusal(res)
	case Interrupted:
		s.Interrupted++
	case Wrong, Lost:
	}
	s.checkGuarantees(res, runs[res.Tag])
	if retried := res.Retried; retried != nil {
		s.RetriedLater++
		if retried.Outcome == Complete {
			s.RetriedServed++
		}
		s.checkGuarantees(retried, runs[retried.Tag])
	}
}

// checkGuarantees counts the violated guarantees of one request; ran is how often
// the backend servers recorded its tag. A refusal that claims that the request
// did not run is checked against that count, except for a call that was sent
// several times under one tag, of which an earlier attempt may have run.
func (s *Summary) checkGuarantees(res *Result, ran int) {
	switch {
	case res.Outcome == Complete && ran == 0:
		s.countWrong(res, "complete, but no server ran it")
	case res.Outcome == Wrong:
		s.countWrong(res, res.Detail)
	case res.Outcome == Lost:
		s.Lost++
		s.addExample(res, "lost", res.Detail)
	case res.Outcome == Refused && res.Ran == "no" && ran > 0 && (res.Attempts == 1 || !res.Request.AtMostOnce):
		s.FalseNotRun++
		s.addExample(res, "false not-run", res.Reason)
	}
	if res.Request.AtMostOnce && ran > 1 {
		s.Duplicated++
		s.addExample(res, "doubled", fmt.Sprintf("%d runs", ran))
	}
}

func (s *Summary) countWrong(res *Result, detail string) {
	s.Wrong++
	s.addExample(res, "wrong", detail)
}

// countRefusal counts a refusal by its reason and by whether the request ran.
func (s *Summary) countRefusal(res *Result) {
	s.Refused[res.Reason]++
	switch res.Ran {
	case "no":
	case "maybe":
		s.MaybeRan++
	case "partial":
		s.PartlyRan++
	default:
		s.countWrong(res, "the refusal does not say whether the request ran")
	}
}

func (s *Summary) addExample(res *Result, what, detail string) {
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, fmt.Sprintf("%s %s/%s at %s: %s: %s",
			res.Request.Spec.Tag, res.Request.Workspace, res.Request.Service, res.VM, what, detail))
	}
}

// Passed reports whether no guarantee was violated.
func (s *Summary) Passed() bool {
	return s.Lost == 0 && s.Duplicated == 0 && s.Wrong == 0 && s.FalseNotRun == 0
}
