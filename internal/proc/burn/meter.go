package burn

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/result"
)

// Objective is a service-level objective from the system's requirements.
type Objective uint8

// Objectives.
const (
	Stall   Objective = iota // requests stalled for at most StallBound in total
	Preempt                  // streams that were never preempted
	Tail                     // tokens that arrived within the expected gap
	numObjectives
)

func (o Objective) String() string {
	return [...]string{"stall-time", "preemptions", "token-tail"}[o]
}

// StallBound is the longest total stall of a good request.
const StallBound = time.Second

// Target returns the share of events that must be good.
func (o Objective) Target() float64 {
	return [...]float64{0.99, 0.98, 0.99}[o]
}

// key identifies the counts of one workspace, service and class.
type key struct {
	workspace ident.Workspace
	service   ident.Service
	class     ident.Class
}

// Meter counts finished requests on one VM. It is safe for use by several
// goroutines.
type Meter struct {
	vm ident.VM

	mu   sync.Mutex
	rows map[key]*[numObjectives]windowCounts
}

// New returns an empty meter for a VM.
func New(vm ident.VM) *Meter {
	return &Meter{vm: vm, rows: map[key]*[numObjectives]windowCounts{}}
}

// RecordGap implements result.Recorder. It does nothing, because RecordRequest counts
// late tokens with their request.
func (m *Meter) RecordGap(time.Duration) {}

// RecordRequest implements result.Recorder.
func (m *Meter) RecordRequest(r *result.Record) {
	if r.Workspace == "" || r.Service == "" {
		return
	}
	m.record(r, time.Now())
}

func (m *Meter) record(r *result.Record, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := key{r.Workspace, r.Service, r.Class}
	row := m.rows[k]
	if row == nil {
		row = &[numObjectives]windowCounts{}
		m.rows[k] = row
	}
	row[Stall].add(singleEvent(r.Stall > StallBound), now)
	if r.Tokens > 0 {
		row[Preempt].add(singleEvent(r.Preemptions > 0), now)
		row[Tail].add(Count{Bad: uint64(r.LateTokens), Total: uint64(r.Tokens)}, now)
	}
}

func singleEvent(bad bool) Count {
	if bad {
		return Count{Bad: 1, Total: 1}
	}
	return Count{Total: 1}
}

// Snapshot returns a report of this VM's counts.
func (m *Meter) Snapshot(now time.Time) *Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	rep := &Report{At: now, VMs: []ident.VM{m.vm}}
	for k, row := range m.rows {
		for o := range numObjectives {
			r := Row{Workspace: k.workspace, Service: k.service, Class: k.class, Objective: o}
			for i, w := range Windows {
				r.Counts[i] = row[o][i].sum(now, w)
			}
			if r.Counts[len(Windows)-1].Total > 0 {
				rep.Rows = append(rep.Rows, r)
			}
		}
	}
	rep.sort()
	return rep
}
