package reqlog

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fastjson"
)

const (
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextTime is how long before and after a request the lines of its VMs about
	// its servers, the settings or the store are included in its timeline.
	contextTime = 3 * time.Second
)

// Line is one log line.
type Line struct {
	At      time.Time // by the clock of the reference VM
	VM      string
	Message string
	Request string
	Server  string
	Raw     string
}

// BadLine is a log line that could not be parsed.
type BadLine struct {
	File string
	Line int
	Err  error
}

// Reader reads logs and collects the lines relevant to one request.
type Reader struct {
	id        string
	lines     []Line
	appliedAt map[string]map[uint64]time.Time // when each settings version came into force, by VM
	badLines  []BadLine
}

// New returns a reader for the request with the given ID.
func New(id string) *Reader {
	return &Reader{id: id, appliedAt: make(map[string]map[uint64]time.Time)}
}

// BadLines returns the lines that could not be parsed.
func (r *Reader) BadLines() []BadLine { return r.badLines }

// Read reads the log of a VM. Lines that cannot be parsed are skipped and listed in
// BadLines.
func (r *Reader) Read(name string, in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	var p fastjson.Parser
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		if err := r.addLine(&p, s.Bytes()); err != nil {
			r.badLines = append(r.badLines, BadLine{File: name, Line: n, Err: err})
		}
	}
	return trace.Wrap(s.Err(), "%s", name)
}

func (r *Reader) addLine(p *fastjson.Parser, b []byte) error {
	v, err := p.ParseBytes(b)
	if err != nil {
		return trace.BadParameter("not JSON: %v", err)
	}
	at, err := time.Parse(time.RFC3339Nano, string(v.GetStringBytes("ts")))
	if err != nil {
		return trace.BadParameter("ts: %v", err)
	}
	l := Line{
		At:      at,
		VM:      string(v.GetStringBytes("vm")),
		Message: string(v.GetStringBytes("msg")),
		Request: string(v.GetStringBytes("request")),
		Server:  string(v.GetStringBytes("server")),
		Raw:     string(b),
	}
	if l.Message == "settings in force" {
		if r.appliedAt[l.VM] == nil {
			r.appliedAt[l.VM] = make(map[uint64]time.Time)
		}
		r.appliedAt[l.VM][v.GetUint64("version")] = at
	}
	if l.Request == "" || l.Request == r.id {
		r.lines = append(r.lines, l)
	}
	return nil
}

// Timeline returns the request's log lines, sorted by time. It includes the lines of
// its VMs around that time that concern its servers, the settings or the store.
func (r *Reader) Timeline() []Line {
	vms, servers := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range r.lines {
		if l.Request != r.id {
			continue
		}
		vms[l.VM], servers[l.Server] = true, true
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	ref := r.referenceVM(vms)
	var out []Line
	for _, l := range r.lines {
		inRange := vms[l.VM] && l.At.After(first.Add(-contextTime)) && l.At.Before(last.Add(contextTime))
		if l.Request != r.id && (!inRange || l.Server != "" && !servers[l.Server]) {
			continue
		}
		l.At = l.At.Add(-r.clockOffset(l.VM, ref))
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// referenceVM returns the VM whose clock the timeline uses: the first by name.
func (r *Reader) referenceVM(vms map[string]bool) string {
	ref := ""
	for vm := range vms {
		if ref == "" || vm < ref {
			ref = vm
		}
	}
	return ref
}

// clockOffset returns how far a VM's clock is ahead of the reference VM's: the median
// over the settings versions that came into force on both.
func (r *Reader) clockOffset(vm, ref string) time.Duration {
	var all []time.Duration
	for version, at := range r.appliedAt[vm] {
		if other, ok := r.appliedAt[ref][version]; ok {
			all = append(all, at.Sub(other))
		}
	}
	if len(all) == 0 || vm == ref {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
