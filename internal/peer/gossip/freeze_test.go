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

// TestFreeze has VMs stand still in the middle of a duty and go on with what they knew:
// the others do without them meanwhile, and they take up what has changed once they wake.
func TestFreeze(t *testing.T) {
	const loss = 0.04
	first := func(f *fleet) []ident.VM { return hubsOf(f.all[0])[:1] }
	for name, tc := range map[string]struct {
		who  func(f *fleet) []ident.VM
		span time.Duration
	}{
		"a hub, for less than it takes to miss it": {who: first, span: hubs.Silence / 2},
		"a hub":                      {who: first, span: 3 * time.Second},
		"a hub, for long":            {who: first, span: 20 * time.Second},
		"all hubs":                   {who: func(f *fleet) []ident.VM { return hubsOf(f.all[0]) }, span: 3 * time.Second},
		"those that watch the store": {who: watchers, span: 3 * time.Second},
		"a VM that is no hub":        {who: func(f *fleet) []ident.VM { return []ident.VM{f.others()[0].own.VM} }, span: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, vms/3, loss, func(t *testing.T, f *fleet) {
				time.Sleep(4 * time.Second)
				list := tc.who(f)
				var still []*node
				var thaw []func()
				for _, v := range f.all {
					if slices.Contains(list, v.own.VM) {
						still = append(still, v)
						thaw = append(thaw, v.freeze())
					}
				}
				awake := slices.DeleteFunc(f.up(), func(v *node) bool { return slices.Contains(still, v) })
				time.Sleep(tc.span)
				for n := range 3 {
					crash(awake[n], n)
				}
				for _, f := range thaw {
					f()
				}
				time.Sleep(agreed)
				f.agree(t, fmt.Sprint(name, ", after it woke"))
				time.Sleep(learnTime - agreed)
				assert.Equal(t, quarantined(f.up()), len(f.up()))
				f.spread(t, 1)
			})
		})
	}
}

// watchers returns the VMs that ask the store for changes.
func watchers(f *fleet) []ident.VM {
	var out []ident.VM
	for _, v := range f.all {
		if v.hubs.Asks(time.Now()) {
			out = append(out, v.own.VM)
		}
	}
	return out
}
