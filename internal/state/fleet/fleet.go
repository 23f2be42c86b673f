// Package fleet runs the membership protocol of one VM. It drives the state machine of
// package member with datagrams, time and the platform's VM list, and lets the request
// path read the live VMs without a lock.
package fleet

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
	"umberladder/internal/state/member"
)

const (
	tickInterval      = 50 * time.Millisecond
	listInterval      = 5 * time.Second
	firstListInterval = 500 * time.Millisecond // until the list has been read once
)

// Transport carries packets between VMs. Run calls handle for each received packet until
// ctx is done.
type Transport interface {
	Send(to netip.AddrPort, p *member.Packet) error
	Run(ctx context.Context, handle func(member.Packet)) error
}

// Lister reads the platform's VM list, which does not contain VMs that are shutting down.
type Lister interface {
	Members(ctx context.Context) ([]member.Member, error)
}

// View is the membership at one point in time. It is immutable.
type View struct {
	Self member.Member
	Live []member.Member // sorted by name
	Rank int             // index of this VM in Live, or 0 if it is shutting down
}

// Membership maintains the membership list of one VM. It is safe for use by several
// goroutines.
type Membership struct {
	transport       Transport
	lister          Lister
	settingsVersion func() member.SettingsVersion
	onReceive       func(member.Member, member.SettingsVersion)

	mu               sync.Mutex
	table            *member.Table
	publishedVersion uint64 // version of the table that view shows
	view             atomic.Pointer[View]
	lastSeen         atomic.Int64 // when the last packet arrived, in Unix nanoseconds
}

// New returns a Membership. settingsVersion returns the version of the settings that this
// VM has in force. onReceive is called with the sender of each packet and the version that
// the sender has in force, and must not block.
func New(table *member.Table, t Transport, l Lister, settingsVersion func() member.SettingsVersion, onReceive func(member.Member, member.SettingsVersion)) *Membership {
	m := &Membership{transport: t, lister: l, settingsVersion: settingsVersion, onReceive: onReceive, table: table}
	m.publish()
	return m
}

// View returns the current view.
func (m *Membership) View() *View { return m.view.Load() }

// Rank returns the index of this VM among the live ones, and their number.
func (m *Membership) Rank() (int, int) {
	v := m.View()
	return v.Rank, max(len(v.Live), 1)
}

// LastSeen returns when the last packet from another VM arrived.
func (m *Membership) LastSeen() time.Time { return time.Unix(0, m.lastSeen.Load()) }

// Removals returns how many times this VM has declared another dead.
func (m *Membership) Removals() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Removals()
}

// All returns every known VM, including dead ones.
func (m *Membership) All() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}

// publish makes the table's state the current view. Except in New, the caller must hold
// mu.
func (m *Membership) publish() {
	v := &View{Self: m.table.Self(), Live: m.table.Live()}
	for i, live := range v.Live {
		if live.Name == v.Self.Name {
			v.Rank = i
		}
	}
	m.view.Store(v)
}

// Run pings other VMs and updates the membership until ctx is done.
func (m *Membership) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			m.send(m.update(func() []member.Outbound { return m.table.Tick(now) }))
		}
	}
}

// Receive handles packets from other VMs until ctx is done.
func (m *Membership) Receive(ctx context.Context) error {
	return m.transport.Run(ctx, func(p member.Packet) {
		m.lastSeen.Store(time.Now().UnixNano())
		m.send(m.update(func() []member.Outbound { return m.table.Receive(p, time.Now()) }))
		m.onReceive(p.From, p.SettingsVersion)
	})
}

// PollList reads the platform's VM list at intervals until ctx is done.
func (m *Membership) PollList(ctx context.Context) error {
	wait := firstListInterval
	for ctx.Err() == nil {
		list, err := m.lister.Members(ctx)
		if err == nil {
			wait = listInterval
			m.update(func() []member.Outbound {
				m.table.MergeList(list, time.Now())
				return nil
			})
		}
		retry.Sleep(ctx, wait)
	}
	return nil
}

// Leave announces that this VM is shutting down.
func (m *Membership) Leave() {
	m.send(m.update(func() []member.Outbound { return m.table.Leave(time.Now()) }))
}

// SendUpdates sends the queued updates and the settings version to the given VMs at once,
// instead of with the next pings and acks.
func (m *Membership) SendUpdates(to []member.Member) {
	m.send(m.update(func() []member.Outbound { return m.table.Announce(to) }))
}

func (m *Membership) update(apply func() []member.Outbound) []member.Outbound {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetSettingsVersion(m.settingsVersion())
	out := apply()
	if v := m.table.Version(); v != m.publishedVersion {
		m.publishedVersion = v
		m.publish()
	}
	return out
}

func (m *Membership) send(out []member.Outbound) {
	for i := range out {
		// The protocol tolerates lost datagrams, so a send error needs no handling.
		_ = m.transport.Send(out[i].To, &out[i].Packet)
	}
}

// InDomain returns the live VMs of a failure domain.
func (v *View) InDomain(d ident.FailureDomain) []member.Member {
	var out []member.Member
	for _, m := range v.Live {
		if m.Domain == d {
			out = append(out, m)
		}
	}
	return out
}
