package story

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fastjson"
)

const (
	// maxLine is the longest log line read, in bytes.
	maxLine = 1 << 20
	// around is how long before and after a request the lines of its VM on its
	// servers and on settings belong to its story.
	around = 3 * time.Second
)

// Line is one log line.
type Line struct {
	At      time.Time // by the clock of the VM that is taken as the reference
	VM      string
	What    string
	Request string
	Server  string
	Raw     string
}

// Bad is a line that could not be read.
type Bad struct {
	File string
	Line int
	Err  error
}

// Reader gathers lines.
type Reader struct {
	id     string
	lines  []Line
	forces map[string]map[uint64]time.Time // by VM: when a version came into force
	bad    []Bad
}

// New makes a reader for one request.
func New(id string) *Reader {
	return &Reader{id: id, forces: make(map[string]map[uint64]time.Time)}
}

// Bad returns the lines that could not be read.
func (r *Reader) Bad() []Bad { return r.bad }

// Read takes a VM's log. Lines that are not JSON are noted and passed over.
func (r *Reader) Read(name string, in io.Reader) error {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 64<<10), maxLine)
	var p fastjson.Parser
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		if err := r.take(&p, s.Bytes()); err != nil {
			r.bad = append(r.bad, Bad{File: name, Line: n, Err: err})
		}
	}
	return trace.Wrap(s.Err(), "%s", name)
}

func (r *Reader) take(p *fastjson.Parser, b []byte) error {
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
		What:    string(v.GetStringBytes("msg")),
		Request: string(v.GetStringBytes("request")),
		Server:  string(v.GetStringBytes("server")),
		Raw:     string(b),
	}
	if l.What == "settings in force" {
		if r.forces[l.VM] == nil {
			r.forces[l.VM] = make(map[uint64]time.Time)
		}
		r.forces[l.VM][v.GetUint64("version")] = at
	}
	if l.Request == "" || l.Request == r.id {
		r.lines = append(r.lines, l)
	}
	return nil
}

// Story returns the request's lines, and those of its VMs at that time that
// tell of its servers, of the settings or of the store, in order.
func (r *Reader) Story() []Line {
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
	ref := r.reference(vms)
	var out []Line
	for _, l := range r.lines {
		near := vms[l.VM] && l.At.After(first.Add(-around)) && l.At.Before(last.Add(around))
		if l.Request != r.id && (!near || l.Server != "" && !servers[l.Server]) {
			continue
		}
		l.At = l.At.Add(-r.offset(l.VM, ref))
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out
}

// reference returns the VM whose clock the story is told by: the first by name.
func (r *Reader) reference(vms map[string]bool) string {
	ref := ""
	for vm := range vms {
		if ref == "" || vm < ref {
			ref = vm
		}
	}
	return ref
}

// offset returns by how much a VM's clock is ahead of the reference: the median
// over the versions of settings that both put in force.
func (r *Reader) offset(vm, ref string) time.Duration {
	var all []time.Duration
	for version, at := range r.forces[vm] {
		if other, ok := r.forces[ref][version]; ok {
			all = append(all, at.Sub(other))
		}
	}
	if len(all) == 0 || vm == ref {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
