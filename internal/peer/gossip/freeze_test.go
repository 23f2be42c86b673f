package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/hubs"
)

// TestFreeze guards against VMs that are suspended and resume with outdated state, while
// they are hubs or watch the store. The other VMs must manage without them, and the
// frozen VMs must catch up with all changes after they resume.
func TestFreeze(t *testing.T) {
	const loss = 0.04
	firstHub := func(f *fleet) []ident.VM { return hubsOf(f.all[0])[:1] }
	for name, tc := range map[string]struct {
		selectVMs func(f *fleet) []ident.VM
		duration  time.Duration
	}{
		"a hub, for less than the peer timeout": {selectVMs: firstHub, duration: hubs.PeerTimeout / 2},
		"a hub":                                 {selectVMs: firstHub, duration: 3 * time.Second},
		"a hub, for 20 s":                       {selectVMs: firstHub, duration: 20 * time.Second},
		"all hubs":                              {selectVMs: func(f *fleet) []ident.VM { return hubsOf(f.all[0]) }, duration: 3 * time.Second},
		"those that watch the store":            {selectVMs: watchers, duration: 3 * time.Second},
		"a VM that is not a hub":                {selectVMs: func(f *fleet) []ident.VM { return []ident.VM{f.nonHubs()[0].self.VM} }, duration: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, vms/3, loss, func(t *testing.T, f *fleet) {
				time.Sleep(4 * time.Second)
				list := tc.selectVMs(f)
				var frozen []*node
				var thaw []func()
				for _, v := range f.all {
					if slices.Contains(list, v.self.VM) {
						frozen = append(frozen, v)
						thaw = append(thaw, v.freeze())
					}
				}
				running := slices.DeleteFunc(f.up(), func(v *node) bool { return slices.Contains(frozen, v) })
				time.Sleep(tc.duration)
				for n := range 3 {
					reportCrash(running[n], n)
				}
				for _, resume := range thaw {
					resume()
				}
				time.Sleep(maxAgreeTime)
				f.assertAgreed(t, fmt.Sprint(name, ", after it resumed"))
				time.Sleep(maxLearnTime - maxAgreeTime)
				assert.Equal(t, countQuarantined(f.up()), len(f.up()))
				f.measureSpread(t, 1)
			})
		})
	}
}

// watchers returns the VMs that watch the store.
func watchers(f *fleet) []ident.VM {
	var out []ident.VM
	for _, v := range f.all {
		if v.hubs.ShouldWatch(time.Now()) {
			out = append(out, v.self.VM)
		}
	}
	return out
}
