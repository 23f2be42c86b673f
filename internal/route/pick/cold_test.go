package pick

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/state/srvtab"
)

// fleetSize provides the number of VMs. It implements rates.Demand.
type fleetSize int

func (fleetSize) Rates(ident.Service, time.Time) (own, all float64) { return 0, 0 }

func (n fleetSize) VMs(time.Time) int { return int(n) }

// TestColdEngine guards against a burst that an empty engine draws when it has just
// started: it gets all waiting calls at once and crashes. Calls arrive every 5 ms, need
// hardly any memory, and there is one engine.
func TestColdEngine(t *testing.T) {
	const limit = 6
	grants := func(vms int, request Request, cold time.Duration) int {
		table := srvtab.NewTable(func() {})
		table.Put(srvtab.Entry{ID: "s", Service: "engines", Slots: 1000, Domain: "a", Cold: cold})
		c := NewChooser(table, alloc.New(), health.New(), rates.New(fleetSize(vms), nil))
		n := 0
		for start, at := time.Now(), time.Duration(0); at < time.Second; at += 5 * time.Millisecond {
			r := request
			r.Service, r.Need, r.EngineMemory, r.ColdTime = "engines", 1, 20_000, 3*time.Second
			if _, err := c.Choose(&r, nil, start.Add(at)); err == nil {
				n++
			}
		}
		return n
	}
	t.Run("the coordinator keeps to the limit, as the engine may be cold unnoticed", func(t *testing.T) {
		assert.Equal(t, grants(67, Request{ColdLimit: limit}, 0), limit)
		assert.Equal(t, grants(67, Request{ColdLimit: limit}, 3*time.Second), limit)
	})
	t.Run("VMs that decide by themselves share the limit", func(t *testing.T) {
		assert.Equal(t, grants(67, Request{ColdLimit: limit, Local: true}, 3*time.Second), 0)
		assert.Equal(t, grants(3, Request{ColdLimit: limit, Local: true}, 3*time.Second), limit/3)
		assert.Equal(t, grants(67, Request{ColdLimit: limit, Local: true}, 0), 200, "it is known to be warm")
	})
	t.Run("no copies at a cold engine", func(t *testing.T) {
		assert.Equal(t, grants(67, Request{ColdLimit: limit, Purpose: Backup}, 3*time.Second), 0)
		assert.Equal(t, grants(67, Request{ColdLimit: limit, Purpose: Backup}, 0), 200)
	})
	t.Run("no limit is stated", func(t *testing.T) {
		assert.Equal(t, grants(67, Request{}, 3*time.Second), 200)
	})
}

// TestDomains guards against a run that is placed outside of the failure domains in which it
// may run.
func TestDomains(t *testing.T) {
	table := srvtab.NewTable(func() {})
	for id, d := range map[ident.Server]ident.FailureDomain{"s1": "a", "s2": "b"} {
		table.Put(srvtab.Entry{ID: id, Service: "engines", Slots: 24, Domain: d})
	}
	c := NewChooser(table, alloc.New(), health.New(), rates.New(fleetSize(1), nil))
	request := func(domains ...ident.FailureDomain) *Request {
		return &Request{Service: "engines", Need: 1, EngineMemory: 20_000, From: "a", Domains: domains}
	}
	for range 20 {
		p, err := c.Choose(request("b"), nil, time.Now())
		assert.NilError(t, err)
		assert.Equal(t, p.Server.ID, ident.Server("s2"))
	}
	_, err := c.Choose(request("c"), nil, time.Now())
	assert.ErrorIs(t, err, ErrNoServer)
}
