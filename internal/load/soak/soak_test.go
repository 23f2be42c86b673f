package soak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/platform/fake"
)

// TestResponseViolation checks that each violated guarantee is detected.
func TestResponseViolation(t *testing.T) {
	now := time.Now()
	r := &run{revoked: map[string]time.Time{"gone": now.Add(-time.Minute)}}
	ran := []fake.Run{{Server: "a"}}
	for name, tc := range map[string]struct {
		call call
		runs []fake.Run
		want string
	}{
		"served":                {call: call{path: "/once/x", status: 200}, runs: ran},
		"refused and not run":   {call: call{path: "/once/x", status: 503}},
		"refused and run":       {call: call{path: "/once/x", status: 503}, runs: ran, want: "not run, but ran"},
		"run twice":             {call: call{path: "/once/x", status: 200}, runs: append(ran, ran...), want: "ran 2 times"},
		"repeatable, run twice": {call: call{path: "/get/x", status: 200}, runs: append(ran, ran...)},
		"continued":             {call: call{path: "/stream/x", status: 200}, runs: append(ran, fake.Run{FromCopy: true})},
		"revoked key":           {call: call{path: "/get/x", key: "gone", sentAt: now, status: 200}, runs: ran, want: "revoked key"},
		"denied, revoked key":   {call: call{path: "/get/x", key: "gone", sentAt: now, status: 401}},
		"denied, valid key":     {call: call{path: "/get/x", key: "k", sentAt: now, status: 401}, want: "denied"},
	} {
		t.Run(name, func(t *testing.T) {
			got := r.responseViolation(&tc.call, tc.runs)
			assert.Equal(t, got != "", tc.want != "", got)
			assert.Assert(t, strings.Contains(got, tc.want), got)
		})
	}
}

func TestWasHealthy(t *testing.T) {
	now := time.Now()
	r := &run{impairments: map[string][]span{"vm": {{from: now, to: now.Add(time.Second)}, {from: now.Add(time.Minute)}}}}
	for at, want := range map[time.Duration]bool{
		-time.Second: true, time.Second / 2: false, 3 * time.Second: false, 5 * time.Second: true, 2 * time.Minute: false,
	} {
		assert.Equal(t, r.wasHealthy("vm", now.Add(at)), want, "%s", at)
	}
	assert.Assert(t, r.wasHealthy("another", now))
}

func TestReadStream(t *testing.T) {
	complete := ""
	for n := range fake.StreamEvents {
		complete += fmt.Sprintf("id: %d\ndata: r\n\n", n+1)
	}
	for name, tc := range map[string]struct{ stream, want string }{
		"complete": {complete, ""},
		"cut":      {complete[:len(complete)-20], "ended without an error after"},
		"doubled":  {"id: 1\ndata: r\n\nid: 1\ndata: r\n\n", "event 1 after 1"},
		"foreign":  {"id: 1\ndata: s\n\n", "event of another request: s"},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{id: "r"}
			c.readStream(strings.NewReader(tc.stream))
			assert.Equal(t, c.violation != "", tc.want != "", c.violation)
		})
	}
}

// TestVersionViolations checks that streams of several versions, and too few that go on after
// their clients took them up, are detected.
func TestVersionViolations(t *testing.T) {
	calls := func(n, wentOn int) []*call {
		var out []*call
		for i := range n {
			first, second := &call{path: "/resume/x", lastEvent: 5}, &call{path: "/resume/x", lastEvent: 5, takeUp: &takeUp{last: 5, counts: true}}
			if i < wentOn {
				second.lastEvent = 6
			}
			out = append(out, first, second)
		}
		return out
	}
	for name, tc := range map[string]struct {
		calls []*call
		mixed []string
		want  string
	}{
		"all went on":           {calls: calls(20, 20)},
		"half went on":          {calls: calls(20, 10)},
		"less than half":        {calls: calls(20, 9), want: "9 of 20 streams"},
		"too few to count":      {calls: calls(11, 0)},
		"two of two versions":   {mixed: []string{"a", "b"}},
		"three of two versions": {mixed: []string{"a", "b", "c"}, want: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			got := (&run{calls: tc.calls, mixed: tc.mixed}).versionViolations(&Report{})
			assert.Equal(t, len(got) > 0, tc.want != "", "%v", got)
			assert.Assert(t, strings.Contains(strings.Join(got, " "), tc.want))
		})
	}
}

// TestProxy checks in every mode whether a byte passes through the proxy and back.
func TestProxy(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			g.Go(func() error {
				_, _ = io.Copy(c, c)
				return c.Close()
			})
		}
	})
	p, err := NewProxy(ln.Addr().String())
	assert.NilError(t, err)
	for _, tc := range []struct {
		mode   Mode
		passes bool
	}{{Pass, true}, {Delay, true}, {Blackhole, false}, {OneWay, false}, {Reset, false}} {
		t.Run(tc.mode.String(), func(t *testing.T) {
			p.SetMode(tc.mode)
			err := sendThrough(p.Addr())
			assert.Equal(t, err == nil, tc.passes, "%v", err)
		})
	}
	p.SetMode(Pass)
	p.Close()
	_ = ln.Close()
	_ = g.Wait()
}

// sendThrough sends a byte through a proxy to an echo server and waits for it to
// come back. A reset may already fail the dial.
func sendThrough(addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(700 * time.Millisecond)); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

// TestVMAddresses checks that each VM has a loopback address of its own. Soaks that ran
// at the same time once chose ports on the same address. While a VM was down, another
// soak's VM took its port and responded to its clients ("ready", metrics, 404). The VM
// could then not be restarted:
//
//	listen tcp 127.0.0.1:32878: bind: address already in use
func TestVMAddresses(t *testing.T) {
	seen := make(map[netip.Addr]bool)
	for n := range 4 {
		ports, err := freePorts(vmAddr(n), 4)
		assert.NilError(t, err)
		for _, p := range ports {
			addr := netip.MustParseAddrPort(p).Addr()
			assert.Equal(t, addr, vmAddr(n))
			assert.Assert(t, addr.IsLoopback())
		}
		assert.Assert(t, !seen[vmAddr(n)], "VM %d shares its address", n)
		seen[vmAddr(n)] = true
	}
	assert.Assert(t, !seen[netip.MustParseAddr("127.0.0.1")], "127.0.0.1 is shared by all processes")
}

// TestFatalAndDrainViolations checks that the soak detects requests that keep
// crashing servers, and calls to servers that the VM knew to be draining.
func TestFatalAndDrainViolations(t *testing.T) {
	now := time.Now()
	runLog := fake.NewRunLog()
	r := &run{runLog: runLog, stops: map[string][]time.Time{"stopped": {now.Add(2 * time.Second)}}}
	add := func(after time.Duration, c call) *call {
		c.sentAt = now.Add(after)
		r.calls = append(r.calls, &c)
		return &c
	}
	for n := range maxFatalCrashes + maxLateFatalRuns {
		id := fmt.Sprint("r", n)
		runLog.RecordStart(id, &fake.Run{Server: id, Start: now})
		add(time.Duration(n/maxFatalCrashes)*2*healthyTime, call{id: id, path: "/get/fatal", vm: "vm"})
	}
	assert.Equal(t, len(r.fatalViolations()), 0)
	runLog.RecordStart("more", &fake.Run{Server: "x", Start: now})
	add(2*healthyTime, call{id: "more", path: "/get/fatal", vm: "vm"})
	assert.Equal(t, len(r.fatalViolations()), 1)

	add(0, call{vm: "vm", drainingServer: "s", respondedAt: now})
	add(0, call{vm: "stopped", drainingServer: "s", respondedAt: now})
	ran := []fake.Run{{Server: "s"}}
	for vm, want := range map[string]bool{"vm": true, "stopped": false, "other": false} {
		assert.Equal(t, r.drainViolation(add(2*drainBound, call{vm: vm}), ran) != "", want, vm)
		assert.Equal(t, r.drainViolation(add(drainBound/2, call{vm: vm}), ran), "")
	}
}

// TestPartAndFloodViolations checks that the soak detects parts of prompts that keep crashing
// servers, sound requests that are refused because of a shared part, and a VM that serves too
// few of the calls that it got in a flood.
func TestPartAndFloodViolations(t *testing.T) {
	now := time.Now()
	newRun := func() *run { return &run{runLog: fake.NewRunLog(), revoked: make(map[string]time.Time)} }
	t.Run("parts", func(t *testing.T) {
		r := newRun()
		for n := range maxPartCrashes + maxLateRuns + 1 {
			assert.Equal(t, len(r.partViolations()), 0, "%d crashes", n)
			c := &call{id: fmt.Sprint("r", n), fatalPart: "p", vm: "vm", sentAt: now}
			if n >= maxPartCrashes {
				c.sentAt = now.Add(2 * healthyTime)
			}
			r.runLog.RecordStart(c.id, &fake.Run{Server: c.id, Start: now})
			r.calls = append(r.calls, c)
		}
		assert.Equal(t, len(r.partViolations()), 1)
	})
	t.Run("refused sound requests", func(t *testing.T) {
		r := newRun()
		for range maxSoundRefused + 1 {
			assert.Equal(t, len(r.partViolations()), 0)
			r.calls = append(r.calls, &call{status: 503, refusal: "{" + partReason + "}"})
		}
		assert.Equal(t, len(r.partViolations()), 1)
	})
	t.Run("floods", func(t *testing.T) {
		r := newRun()
		r.floods = []*flood{{span: span{now, now.Add(floodTime)}, vm: &vm{name: "a"}}}
		for n := range 10 * minFloodCalls {
			c := &call{vm: "b", status: 200, complete: true, sentAt: now}
			if n < minFloodCalls {
				c.vm, c.sentAt = "a", now.Add(healthyTime+time.Second)
			}
			if n < minFloodCalls/2 {
				c.status, c.complete, c.timedOut = 0, false, true
			}
			r.calls = append(r.calls, c)
		}
		assert.Equal(t, len(r.floodViolations()), 1)
		for _, c := range r.calls[:minFloodCalls/4] {
			c.status, c.complete = 200, true
		}
		assert.Equal(t, len(r.floodViolations()), 0)
	})
}

// TestShareViolations guards against a soak that misses a small workspace that is hardly served, or
// reports one whose calls say nothing.
func TestShareViolations(t *testing.T) {
	const size = 4 * minEqualPart
	start := time.Now()
	for name, tc := range map[string]struct {
		small, greedy int           // calls of size that are served
		read          int           // calls of the small workspace
		revoked       bool          // the key of the small workspace
		impaired      time.Duration // for how long a VM is impaired
		want          int
	}{
		"served alike":           {small: size / 2, greedy: size / 2, read: size},
		"better than the others": {small: size, greedy: size / 4, read: size},
		"none served":            {small: 0, greedy: size, read: size, want: 1},
		"a seventh":              {small: size / 7, greedy: size, read: size, want: 1},
		"few calls":              {small: 0, greedy: size, read: minEqualPart - 1},
		"few served":             {small: 0, greedy: minEqualPart / 2, read: size},
		"nobody is served":       {small: 0, greedy: 0, read: size},
		"a revoked key":          {small: 0, greedy: size, read: size, revoked: true},
		"an impaired VM":         {small: 0, greedy: size, read: size, impaired: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r := &run{cfg: Config{Shares: true}, vms: []*vm{{name: "vm"}, {name: "other"}}, revoked: make(map[string]time.Time), impairments: make(map[string][]span)}
			if tc.revoked {
				r.revoked["key-0"] = start.Add(-time.Second)
			}
			if tc.impaired > 0 {
				r.impairments["other"] = []span{{from: start.Add(-time.Second), to: start.Add(tc.impaired)}}
			}
			add := func(key string, n, served int) {
				for i := range n {
					c := &call{path: "/stream/x", key: key, vm: "vm", sentAt: start, status: 429}
					if i < served {
						c.status, c.complete = 200, true
					}
					r.calls = append(r.calls, c)
				}
			}
			add("key-0", tc.read, tc.small)
			add(greedyKey, size, tc.greedy)
			assert.Equal(t, len(r.shareViolations()), tc.want, "%v", r.shareViolations())
		})
	}
}
