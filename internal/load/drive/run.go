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
	histogramTop  = int64(10 * time.Minute / time.Microsecond)
	histogramSigs = 3
	maxExamples   = 5
)

// Histogram is a histogram of durations, for several goroutines.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, histogramTop, histogramSigs)}
}

// Add notes a duration.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), histogramTop))
}

// At returns the q-th percentile.
func (h *Histogram) At(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtPercentile(q)) * time.Microsecond
}

// Run holds the results of one run.
type Run struct {
	Results []Result
	Gaps    *Histogram
	First   *Histogram // time to the first token of long generations
	Urgent  *Histogram // total time of urgent requests
	Took    time.Duration
}

// Send sends the orders at their times and waits for every outcome.
func Send(ctx context.Context, vms []plan.Node, orders []Order, seed uint64) *Run {
	r := &Run{Results: make([]Result, len(orders)), Gaps: NewHistogram(), First: NewHistogram(), Urgent: NewHistogram()}
	vmPicker := picker.New(vms, seed)
	c := NewClient(vmPicker, r.Gaps.Add)
	defer c.Close()
	poll, stop := context.WithCancel(ctx)
	var balancer errgroup.Group
	balancer.Go(func() error { return vmPicker.Run(poll) })
	defer func() {
		stop()
		_ = balancer.Wait()
	}()
	start := time.Now()
	var g errgroup.Group
	for i, o := range orders {
		select {
		case <-time.After(time.Until(start.Add(o.At))):
		case <-ctx.Done():
		}
		g.Go(func() error {
			r.Results[i] = c.Do(ctx, o)
			r.time(&r.Results[i])
			return nil
		})
	}
	_ = g.Wait()
	r.Took = time.Since(start)
	return r
}

func (r *Run) time(res *Result) {
	if res.Outcome != Complete {
		return
	}
	if res.Order.Urgent || res.Order.Plain {
		r.Urgent.Add(res.Total)
		return
	}
	if res.Order.Stream {
		r.First.Add(res.First)
	}
}

// CutOff returns how many requests saw a connection break.
func (r *Run) CutOff() int {
	n := 0
	for i := range r.Results {
		if res := &r.Results[i]; res.Sends > 1 || res.Resumes > 0 || res.Outcome == Broken {
			n++
		}
	}
	return n
}

// Summary is the one-line result of a run.
type Summary struct {
	Requests    int            `json:"requests"`
	Complete    int            `json:"complete"`
	Refused     map[string]int `json:"refused"`
	Maybe       int            `json:"maybe"`
	Partial     int            `json:"partial"`
	Broken      int            `json:"broken"`
	Lost        int            `json:"lost"`
	Doubled     int            `json:"doubled"`
	Wrong       int            `json:"wrong"`
	FalseNotRun int            `json:"false-not-run"`
	CameBack    int            `json:"came-back"` // refused callers who came back when told
	Served      int            `json:"came-back-served"`
	Resumes     int            `json:"resumes"`
	Tokens      int            `json:"tokens"`
	GapP50      float64        `json:"token-gap-p50-ms"`
	GapP99      float64        `json:"token-gap-p99-ms"`
	FirstP99    float64        `json:"first-token-p99-ms"`
	UrgentP99   float64        `json:"urgent-p99-ms"`
	Seconds     float64        `json:"seconds"`
	Examples    []string       `json:"examples,omitempty"`
}

// Summarise holds the results against what the backend servers ran.
func (r *Run) Summarise(runs map[string]int) Summary {
	s := Summary{
		Requests:  len(r.Results),
		Refused:   map[string]int{},
		GapP50:    Millis(r.Gaps.At(50)),
		GapP99:    Millis(r.Gaps.At(99)),
		FirstP99:  Millis(r.First.At(99)),
		UrgentP99: Millis(r.Urgent.At(99)),
		Seconds:   r.Took.Seconds(),
	}
	for i := range r.Results {
		s.add(&r.Results[i], runs)
	}
	return s
}

// Millis returns d in milliseconds, to the microsecond.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (s *Summary) add(res *Result, runs map[string]int) {
	s.Resumes += res.Resumes
	s.Tokens += res.Tokens
	switch res.Outcome {
	case Complete:
		s.Complete++
	case Refused:
		s.refused(res)
	case Broken:
		s.Broken++
	case Wrong, Lost:
	}
	s.hold(res, runs[res.Tag])
	if back := res.Again; back != nil {
		s.CameBack++
		if back.Outcome == Complete {
			s.Served++
		}
		s.hold(back, runs[back.Tag])
	}
}

// hold counts the promises that were broken to one caller, by what the backend
// servers recorded. The word of a refusal that the request never ran is held
// against the records, but for a call that was sent several times under one tag:
// there an earlier sending may have run.
func (s *Summary) hold(res *Result, ran int) {
	switch {
	case res.Outcome == Complete && ran == 0:
		s.wrong(res, "complete, but no server ran it")
	case res.Outcome == Wrong:
		s.wrong(res, res.Detail)
	case res.Outcome == Lost:
		s.Lost++
		s.example(res, "lost", res.Detail)
	case res.Outcome == Refused && res.Ran == "no" && ran > 0 && (res.Sends == 1 || !res.Order.AtMostOnce):
		s.FalseNotRun++
		s.example(res, "false not-run", res.Reason)
	}
	if res.Order.AtMostOnce && ran > 1 {
		s.Doubled++
		s.example(res, "doubled", fmt.Sprintf("%d runs", ran))
	}
}

func (s *Summary) wrong(res *Result, detail string) {
	s.Wrong++
	s.example(res, "wrong", detail)
}

// refused counts a refusal.
func (s *Summary) refused(res *Result) {
	s.Refused[res.Reason]++
	switch res.Ran {
	case "no":
	case "maybe":
		s.Maybe++
	case "partial":
		s.Partial++
	default:
		s.wrong(res, "a refusal that does not say whether the request ran")
	}
}

func (s *Summary) example(res *Result, what, detail string) {
	if len(s.Examples) < maxExamples {
		s.Examples = append(s.Examples, fmt.Sprintf("%s %s/%s at %s: %s: %s",
			res.Order.Want.Tag, res.Order.Workspace, res.Order.Service, res.VM, what, detail))
	}
}

// Held reports whether no promise was broken.
func (s *Summary) Held() bool {
	return s.Lost == 0 && s.Doubled == 0 && s.Wrong == 0 && s.FalseNotRun == 0
}
