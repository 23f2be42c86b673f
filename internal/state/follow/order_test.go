package follow

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	"umberladder/internal/state/srvtab"
	_ "umberladder/internal/test/check" // fixes the seed
)

// fleet models a store and the VMs that track it. The first VM reads only the store; the
// others also receive updates, which may be lost, repeated, delayed or reordered.
type fleet struct {
	store   map[ident.Server]srvtab.Entry
	changes []Change
	rev     Revision
	vms     []*ServerFollower
	updates []Update
}

func newFleet(n int) *fleet {
	f := &fleet{store: make(map[ident.Server]srvtab.Entry), rev: 1}
	never := func() bool { return false }
	fetch := func(context.Context) (Update, error) {
		if u, ok := f.vms[0].Snapshot(); ok {
			return u, nil
		}
		return Update{}, ErrNoPeer
	}
	for range n {
		f.vms = append(f.vms, NewServerFollower(newStore(), srvtab.NewTable(func() {}), testHeartbeat, uptime.Now, never, never, never, func() {}, fetch, zap.NewNop()))
	}
	for _, v := range f.vms {
		v.applyList(nil, f.rev, uptime.Now(), missed{})
	}
	return f
}

// changeEntry writes or removes a random server's entry in the store.
func (f *fleet) changeEntry(t *rapid.T) {
	e := entry(rapid.IntRange(0, 5).Draw(t, "server"))
	e.Slots = rapid.IntRange(1, 9).Draw(t, "slots")
	_, exists := f.store[e.ID]
	f.rev++
	if exists && rapid.Bool().Draw(t, "remove") {
		delete(f.store, e.ID)
		f.changes = append(f.changes, Change{Rev: f.rev, Gone: true, Entry: srvtab.Entry{ID: e.ID}})
		return
	}
	f.store[e.ID] = e
	f.changes = append(f.changes, Change{Rev: f.rev, Entry: e})
}

// readChanges applies to v the store's changes after the revision that v knows.
func (f *fleet) readChanges(v *ServerFollower) {
	known := v.Revision()
	var list []Change
	for _, c := range f.changes {
		if c.Rev > known {
			list = append(list, c)
		}
	}
	v.applyChanges(list, f.rev, uptime.Now())
}

// assertMatchesStore fails the test unless v's table equals the store's entries.
func (f *fleet) assertMatchesStore(t *rapid.T, v *ServerFollower) {
	got := make(map[ident.Server]srvtab.Entry)
	for _, e := range v.table.View().All() {
		got[e.ID] = e
	}
	assert.DeepEqual(t, got, f.store, cmpopts.EquateComparable(netip.AddrPort{}))
}

// TestReportOrder guards against an older update overriding a newer change. Updates are
// lost, repeated, delayed and reordered while VMs also read the store and copy lists;
// afterwards, one update from an up-to-date VM must make all VMs agree with the store.
func TestReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		ctx := context.Background()
		t.Repeat(map[string]func(*rapid.T){
			"change": f.changeEntry,
			"read":   func(*rapid.T) { f.readChanges(f.vms[0]) },
			"report": func(t *rapid.T) {
				if u, ok := f.vms[rapid.IntRange(0, 3).Draw(t, "from")].RecentChanges(time.Now()); ok {
					f.updates = append(f.updates, u)
				}
			},
			"receive": func(t *rapid.T) {
				if len(f.updates) == 0 {
					t.Skip("no updates")
				}
				v := f.vms[rapid.IntRange(1, 3).Draw(t, "to")]
				v.ApplyUpdate(f.updates[rapid.IntRange(0, len(f.updates)-1).Draw(t, "report")], time.Now())
				if v.Revision() == 0 {
					v.copyFromPeer(ctx)
				}
			},
			"take a list": func(t *rapid.T) { f.vms[rapid.IntRange(1, 3).Draw(t, "to")].copyFromPeer(ctx) },
			"other reads": func(t *rapid.T) { f.readChanges(f.vms[rapid.IntRange(1, 3).Draw(t, "vm")]) },
		})
		f.readChanges(f.vms[0])
		u, ok := f.vms[0].RecentChanges(time.Now())
		assert.Assert(t, ok)
		for _, v := range f.vms {
			v.ApplyUpdate(u, time.Now())
			if v.Revision() == 0 {
				assert.Assert(t, v.copyFromPeer(ctx))
			}
			f.assertMatchesStore(t, v)
		}
	})
}
