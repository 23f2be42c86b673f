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

	"umberladder/platform/standin"
)

// TestUntrue has the soak see each broken promise.
func TestUntrue(t *testing.T) {
	now := time.Now()
	r := &run{revoked: map[string]time.Time{"gone": now.Add(-time.Minute)}}
	ran := []standin.Run{{Server: "a"}}
	for name, tc := range map[string]struct {
		call call
		runs []standin.Run
		want string
	}{
		"served":                         {call: call{path: "/once/x", status: 200}, runs: ran},
		"refused and not run":            {call: call{path: "/once/x", status: 503}},
		"refused and run":                {call: call{path: "/once/x", status: 503}, runs: ran, want: "has run"},
		"run twice":                      {call: call{path: "/once/x", status: 200}, runs: append(ran, ran...), want: "ran 2 times"},
		"repeatable, run twice":          {call: call{path: "/get/x", status: 200}, runs: append(ran, ran...)},
		"gone on with":                   {call: call{path: "/stream/x", status: 200}, runs: append(ran, standin.Run{GoesOn: true})},
		"a key that was taken away":      {call: call{path: "/get/x", key: "gone", sent: now, status: 200}, runs: ran, want: "taken away"},
		"denied by the key":              {call: call{path: "/get/x", key: "gone", sent: now, status: 401}},
		"denied though the key is right": {call: call{path: "/get/x", key: "k", sent: now, status: 401}, want: "denied"},
	} {
		t.Run(name, func(t *testing.T) {
			got := r.untrue(&tc.call, tc.runs)
			assert.Equal(t, got != "", tc.want != "", got)
			assert.Assert(t, strings.Contains(got, tc.want), got)
		})
	}
}

func TestInTouch(t *testing.T) {
	now := time.Now()
	r := &run{harmed: map[string][]span{"vm": {{from: now, to: now.Add(time.Second)}, {from: now.Add(time.Minute)}}}}
	for at, want := range map[time.Duration]bool{
		-time.Second: true, time.Second / 2: false, 3 * time.Second: false, 5 * time.Second: true, 2 * time.Minute: false,
	} {
		assert.Equal(t, r.inTouch("vm", now.Add(at)), want, "%s", at)
	}
	assert.Assert(t, r.inTouch("another", now))
}

func TestReadStream(t *testing.T) {
	whole := ""
	for n := range standin.Events {
		whole += fmt.Sprintf("id: %d\ndata: r\n\n", n+1)
	}
	for name, tc := range map[string]struct{ stream, want string }{
		"whole":   {whole, ""},
		"cut":     {whole[:len(whole)-20], "as whole after"},
		"doubled": {"id: 1\ndata: r\n\nid: 1\ndata: r\n\n", "event 1 after 1"},
		"foreign": {"id: 1\ndata: s\n\n", "event of s"},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{id: "r"}
			c.readStream(strings.NewReader(tc.stream))
			assert.Equal(t, c.fault != "", tc.want != "", c.fault)
		})
	}
}

// TestProxy puts one connection through every mode.
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
	}{{Pass, true}, {Delay, true}, {Silent, false}, {OneWay, false}, {Reset, false}} {
		t.Run(tc.mode.String(), func(t *testing.T) {
			p.Set(tc.mode)
			err := through(p.Addr())
			assert.Equal(t, err == nil, tc.passes, "%v", err)
		})
	}
	p.Set(Pass)
	p.Close()
	_ = ln.Close()
	_ = g.Wait()
}

// through sends a byte through a proxy and waits for it to come back. A reset may
// show as early as at the dialling.
func through(addr string) error {
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

// Soaks that ran at a time chose ports on one address, and while a VM was down another
// soak's VM took its port and answered its clients ("ready", metrics, 404).
//
//	listen tcp 127.0.0.1:32878: bind: address already in use
func TestAddressesOfItsOwn(t *testing.T) {
	seen := make(map[netip.Addr]bool)
	for n := range 4 {
		ports, err := freePorts(host(n), 4)
		assert.NilError(t, err)
		for _, p := range ports {
			addr := netip.MustParseAddrPort(p).Addr()
			assert.Equal(t, addr, host(n))
			assert.Assert(t, addr.IsLoopback())
		}
		assert.Assert(t, !seen[host(n)], "VM %d shares its address", n)
		seen[host(n)] = true
	}
	assert.Assert(t, !seen[netip.MustParseAddr("127.0.0.1")], "the address that all have")
}

// TestRepeated has the soak see requests that go on to end servers, and calls to servers
// that drain as their VM knows.
func TestRepeated(t *testing.T) {
	now := time.Now()
	ledger := standin.NewLedger()
	r := &run{ledger: ledger, stops: map[string][]time.Time{"stopped": {now.Add(2 * time.Second)}}}
	add := func(after time.Duration, c call) *call {
		c.sent = now.Add(after)
		r.calls = append(r.calls, &c)
		return &c
	}
	for n := range fatalCrashes + fatalMore {
		id := fmt.Sprint("r", n)
		ledger.Begin(id, &standin.Run{Server: id, Start: now})
		add(time.Duration(n/fatalCrashes)*2*contact, call{id: id, path: "/get/fatal", vm: "vm"})
	}
	assert.Equal(t, len(r.repeated()), 0)
	ledger.Begin("more", &standin.Run{Server: "x", Start: now})
	add(2*contact, call{id: "more", path: "/get/fatal", vm: "vm"})
	assert.Equal(t, len(r.repeated()), 1)

	add(0, call{vm: "vm", drains: "s", ended: now})
	add(0, call{vm: "stopped", drains: "s", ended: now})
	ran := []standin.Run{{Server: "s"}}
	for vm, want := range map[string]bool{"vm": true, "stopped": false, "other": false} {
		assert.Equal(t, r.drained(add(2*drainBound, call{vm: vm}), ran) != "", want, vm)
		assert.Equal(t, r.drained(add(drainBound/2, call{vm: vm}), ran), "")
	}
}
