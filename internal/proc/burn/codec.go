package burn

import (
	"time"

	"github.com/go-json-experiment/json"
	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
)

type windowWire struct {
	Window string  `json:"window"`
	Bad    uint64  `json:"bad"`
	Total  uint64  `json:"total"`
	Rate   float64 `json:"burn-rate"`
}

type rowWire struct {
	Workspace string       `json:"workspace"`
	Service   string       `json:"service"`
	Class     string       `json:"class"`
	Objective string       `json:"objective"`
	Target    float64      `json:"target"`
	Windows   []windowWire `json:"windows"`
	Left      float64      `json:"budget-left"`
	Alert     string       `json:"alert,omitzero"`
}

type reportWire struct {
	At     string    `json:"at"`
	VMs    []string  `json:"vms"`
	Silent []string  `json:"silent-vms"`
	Rows   []rowWire `json:"rows"`
}

// Encode returns the report as JSON.
func (r *Report) Encode() ([]byte, error) {
	w := reportWire{At: r.At.UTC().Format(time.RFC3339Nano), VMs: vmStrings(r.VMs), Silent: vmStrings(r.Silent), Rows: []rowWire{}}
	for i := range r.Rows {
		w.Rows = append(w.Rows, encodeRow(&r.Rows[i]))
	}
	out, err := json.Marshal(w)
	return out, trace.Wrap(err)
}

func encodeRow(r *Row) rowWire {
	w := rowWire{
		Workspace: string(r.Workspace),
		Service:   string(r.Service),
		Class:     string(r.Class),
		Objective: r.Objective.String(),
		Target:    r.Objective.Target(),
		Left:      r.Left(),
		Alert:     r.Alert(),
	}
	for i, d := range Windows {
		c := r.Counts[i]
		w.Windows = append(w.Windows, windowWire{Window: d.String(), Bad: c.Bad, Total: c.Total, Rate: r.Rate(i)})
	}
	return w
}

// Decode parses a report in JSON.
func Decode(data []byte) (*Report, error) {
	var w reportWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, trace.BadParameter("the report can't be read: %s", err)
	}
	at, err := time.Parse(time.RFC3339Nano, w.At)
	if err != nil {
		return nil, trace.BadParameter("the report has the time %q", w.At)
	}
	r := &Report{At: at, VMs: vmNames(w.VMs), Silent: vmNames(w.Silent)}
	for _, row := range w.Rows {
		d, err := decodeRow(&row)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		r.Rows = append(r.Rows, d)
	}
	return r, nil
}

func decodeRow(w *rowWire) (Row, error) {
	r := Row{Workspace: ident.Workspace(w.Workspace), Service: ident.Service(w.Service), Class: ident.Class(w.Class)}
	for r.Objective < numObjectives && r.Objective.String() != w.Objective {
		r.Objective++
	}
	if r.Objective == numObjectives {
		return r, trace.BadParameter("the report has the objective %q", w.Objective)
	}
	if len(w.Windows) != len(Windows) {
		return r, trace.BadParameter("the report has %d windows", len(w.Windows))
	}
	for i, c := range w.Windows {
		r.Counts[i] = Count{Bad: c.Bad, Total: c.Total}
	}
	return r, nil
}

func vmStrings(vms []ident.VM) []string {
	out := make([]string, 0, len(vms))
	for _, v := range vms {
		out = append(out, string(v))
	}
	return out
}

func vmNames(list []string) []ident.VM {
	out := make([]ident.VM, 0, len(list))
	for _, s := range list {
		out = append(out, ident.VM(s))
	}
	return out
}
