package follow

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/uptime"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// TestLoggedChanges guards against VMs that log each change of each server. Their log bound
// then drops other lines, and the fleet writes servers times VMs lines.
func TestLoggedChanges(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	f := NewServerFollower(nil, srvtab.NewTable(func() {}), testHeartbeat, uptime.Now, nil, nil, nil, func() {}, nil, zap.New(core))
	f.rev = 1
	for _, n := range []int{maxLogged, maxChanges} {
		u := Update{Base: f.Revision(), Rev: f.Revision() + Revision(n)}
		for i := range n {
			u.Changes = append(u.Changes, Change{Rev: u.Base + Revision(i) + 1, Entry: entry(int(u.Base) + i)})
		}
		f.ApplyUpdate(u, time.Now())
		assert.Assert(t, len(logs.TakeAll()) <= maxLogged+1, "%d changes", n)
	}
	assert.Equal(t, f.table.View().Len(), maxLogged+maxChanges)
}

// TestUnreadMembersLogged guards against a line for each message from each VM about members of the
// settings that are not read: there is one for each version.
func TestUnreadMembersLogged(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	f := NewSettingsFollower(nil, routes.NewCurrent(uptime.Now), srvtab.NewTable(func() {}), uptime.Now, nil, nil, func() {}, zap.New(core))
	for _, version := range []uint64{3, 3, 4, 3} {
		f.apply(routes.New(routes.Parts{Version: version, Unread: []string{"services[].tls"}}), uptime.Now())
	}
	assert.Equal(t, logs.Len(), 2)
	assert.DeepEqual(t, logs.All()[1].ContextMap(), map[string]any{"version": uint64(4), "members": []any{"services[].tls"}})
	f.apply(routes.New(routes.Parts{Version: 5}), uptime.Now())
	assert.Equal(t, logs.Len(), 2)
}
