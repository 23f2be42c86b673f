package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

const (
	fatal call.Fingerprint = 7
	// learnTime is how long VMs may take to refuse a request once the third server has
	// crashed under it.
	learnTime = 3 * time.Second
)

// crash has a VM see a server crash under the request.
func crash(v *node, n int) { v.poison.Crashed(fatal, ident.Server(fmt.Sprint("i-", n)), time.Now()) }

// quarantined returns at how many of the VMs the request is quarantined.
func quarantined(list []*node) int {
	n := 0
	for _, v := range list {
		if _, ok := v.poison.Until(fatal, time.Now()); ok {
			n++
		}
	}
	return n
}

// others returns VMs that are no hubs.
func (f *fleet) others() []*node {
	list := hubsOf(f.all[0])
	return slices.DeleteFunc(f.up(), func(v *node) bool { return slices.Contains(list, v.own.VM) })
}

// lose kills the VMs that are hubs.
func (f *fleet) lose() {
	list := hubsOf(f.all[0])
	for _, v := range f.all {
		if slices.Contains(list, v.own.VM) {
			f.kill(v)
		}
	}
}

// TestFindings has three VMs, none of which is a hub, each see one server crash under the
// same request: all have to refuse it 3 s later, whatever fails meanwhile.
func TestFindings(t *testing.T) {
	const loss = 0.04
	for name, tc := range map[string]struct {
		before func(f *fleet) // the third crash
		after  func(f *fleet)
	}{
		"calm": {},
		"the store is away": {before: func(f *fleet) {
			f.mu.Lock()
			f.away = true
			f.mu.Unlock()
		}},
		"all hubs are lost just before": {before: (*fleet).lose},
		"all hubs are lost just after":  {after: (*fleet).lose},
		"hubs start again just before": {before: func(f *fleet) {
			list := hubsOf(f.all[0])
			for _, v := range f.all {
				if slices.Contains(list, v.own.VM) {
					f.kill(v)
					f.start(v, 0)
				}
			}
		}},
		"all start again afterwards": {after: func(f *fleet) {
			time.Sleep(time.Second)
			for _, v := range f.all {
				f.kill(v)
			}
			for _, v := range f.all {
				f.start(v, f.delay())
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, vms/3, loss, func(t *testing.T, f *fleet) {
				time.Sleep(4 * time.Second)
				list := f.others()
				crash(list[0], 0)
				crash(list[1], 1)
				time.Sleep(2 * time.Second)
				assert.Equal(t, quarantined(f.up()), 0)
				if tc.before != nil {
					tc.before(f)
				}
				crash(list[2], 2)
				if tc.after != nil {
					tc.after(f)
				}
				time.Sleep(learnTime)
				assert.Equal(t, quarantined(f.up()), len(f.up()))
			})
		})
	}
}

// TestFindingsOfOne has a VM that is cut off from all others see the crashes itself, and
// the others learn of them once it is back.
func TestFindingsOfOne(t *testing.T) {
	play(t, 16, 0, func(t *testing.T, f *fleet) {
		time.Sleep(4 * time.Second)
		one := f.others()[0]
		f.mu.Lock()
		f.cut = func(a, b *node) bool { return (a == one) != (b == one) }
		f.mu.Unlock()
		time.Sleep(time.Second)
		for n := range 3 {
			crash(one, n)
		}
		assert.Equal(t, quarantined([]*node{one}), 1)
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		time.Sleep(learnTime)
		assert.Equal(t, quarantined(f.up()), len(f.up()))
	})
}

// TestFindingsCost floods the fleet with crashes under requests that are met by chance:
// what VMs exchange ends with it.
func TestFindingsCost(t *testing.T) {
	const span = 4 * time.Second
	play(t, vms/3, 0, func(t *testing.T, f *fleet) {
		time.Sleep(4 * time.Second)
		list := f.others()
		for i, v := range list {
			for n := range 5 {
				v.poison.Crashed(call.Fingerprint(1000+5*i+n), ident.Server(fmt.Sprint("i-", n)), time.Now())
			}
		}
		for n := range 3 * 20 { // 20 requests are quarantined, too
			list[n%len(list)].poison.Crashed(call.Fingerprint(1+n%20), ident.Server(fmt.Sprint("j-", n)), time.Now())
		}
		time.Sleep(2 * learnTime)
		for _, v := range list {
			assert.Equal(t, v.poison.Len(time.Now()), 20)
			v.bytes.Store(0)
			v.received.Store(0)
		}
		time.Sleep(span)
		for _, v := range list {
			rate := (v.bytes.Load() + v.received.Load()) / int64(span/time.Second)
			assert.Assert(t, rate <= controlRate, "%d B/s", rate)
		}
	})
}
