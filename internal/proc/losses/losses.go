// Package losses summarises from the logs of VMs how calls ended: which were lost and why,
// and how fast streams were.
package losses

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fastjson"
)

// maxLine is the length of the longest line that is read, in bytes.
const maxLine = 1 << 20

// LostWithVM is the cause of streams whose VM logged their placement but not their end: its
// process ended first.
const LostWithVM = "lost with its VM"

const (
	msgPlaced = "placed"
	msgEnded  = "call ended"
)

// Key groups calls.
type Key struct {
	Service string
	Kind    string
}

// Group is how the calls with one key ended.
type Group struct {
	Ended  int
	Causes map[string]int // calls that were not served, by the reason of the refusal or the failure's status
	// EventTimes are the mean times between two events of each complete stream, in ascending
	// order.
	EventTimes []time.Duration
	Moved      int // streams that continued at another engine at least once
}

// Summary collects the ends of calls.
type Summary struct {
	groups map[Key]*Group
	placed map[string]struct{} // requests of streams that have not ended
	lostAt map[string]int      // lost calls by second, as in the logs
	unread int
}

// New returns an empty summary.
func New() *Summary {
	return &Summary{groups: make(map[Key]*Group), placed: make(map[string]struct{}), lostAt: make(map[string]int)}
}

// Read adds the lines of a log. Text before a line's JSON object is skipped.
func (s *Summary) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	var p fastjson.Parser
	for sc.Scan() {
		start := bytes.IndexByte(sc.Bytes(), '{')
		if start < 0 {
			continue
		}
		v, err := p.ParseBytes(sc.Bytes()[start:])
		if err != nil {
			s.unread++
			continue
		}
		s.add(v)
	}
	return trace.Wrap(sc.Err())
}

// Unread returns the number of lines that can't be parsed.
func (s *Summary) Unread() int { return s.unread }

func (s *Summary) add(v *fastjson.Value) {
	request := string(v.GetStringBytes("request"))
	switch string(v.GetStringBytes("msg")) {
	case msgPlaced:
		s.placed[request] = struct{}{}
	case msgEnded:
		delete(s.placed, request)
		s.addEnd(v)
	}
}

func (s *Summary) addEnd(v *fastjson.Value) {
	key := Key{Service: string(v.GetStringBytes("service")), Kind: string(v.GetStringBytes("kind"))}
	g := s.groups[key]
	if g == nil {
		g = &Group{Causes: make(map[string]int)}
		s.groups[key] = g
	}
	g.Ended++
	if v.GetInt("moves") > 0 {
		g.Moved++
	}
	cause := string(v.GetStringBytes("reason"))
	if status := v.GetInt("status"); cause == "" && status >= 400 {
		cause = fmt.Sprintf("status %d of the server", status)
	}
	if cause != "" {
		g.Causes[cause]++
		at, _, _ := strings.Cut(string(v.GetStringBytes("ts")), ".")
		s.lostAt[at]++
		return
	}
	if t, ok := eventTime(v); ok {
		at, _ := slices.BinarySearch(g.EventTimes, t)
		g.EventTimes = slices.Insert(g.EventTimes, at, t)
	}
}

// eventTime returns the mean time between two events of a stream. It returns false for
// calls with fewer than two events.
func eventTime(v *fastjson.Value) (time.Duration, bool) {
	events := v.GetInt("events")
	first, err1 := time.ParseDuration(string(v.GetStringBytes("first")))
	total, err2 := time.ParseDuration(string(v.GetStringBytes("total")))
	if events < 2 || err1 != nil || err2 != nil {
		return 0, false
	}
	return (total - first) / time.Duration(events-1), true
}

// Groups returns the groups. Streams that did not end count in none of them.
func (s *Summary) Groups() map[Key]*Group { return s.groups }

// Unfinished returns how many streams were placed and did not end.
func (s *Summary) Unfinished() int { return len(s.placed) }

// Print writes the summary as tables.
func (s *Summary) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := printer{w: t}
	p.printf("service\tkind\tended\tmoved\tnot served, by cause\ttime between events: 10%%, 50%%, 90%%\n")
	keys := slices.SortedFunc(maps.Keys(s.groups), func(a, b Key) int { return strings.Compare(a.Service+a.Kind, b.Service+b.Kind) })
	for _, k := range keys {
		g := s.groups[k]
		p.printf("%s\t%s\t%d\t%d\t%s\t%s\n", k.Service, k.Kind, g.Ended, g.Moved, formatCounts(g.Causes), formatQuantiles(g.EventTimes))
	}
	if n := s.Unfinished(); n > 0 {
		p.printf("streams\t\t\t\t%s: %d\t\n", LostWithVM, n)
	}
	p.printf("not served, by second\t\t\t\t%s\t\n", formatCounts(s.lostAt))
	if p.err == nil {
		p.err = t.Flush()
	}
	return trace.Wrap(p.err)
}

// printer writes formatted text and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func formatCounts(counts map[string]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(out, ", ")
}

func formatQuantiles(sorted []time.Duration) string {
	if len(sorted) == 0 {
		return ""
	}
	at := func(q float64) time.Duration {
		return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("%s, %s, %s", at(0.1), at(0.5), at(0.9))
}
