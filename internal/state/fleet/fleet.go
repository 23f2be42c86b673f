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
	f := &Membership{transport: t, lister: l, settingsVersion: settingsVersion, onReceive: onReceive, table: table}
	f.publish()
	return f
}

// View returns the current view.
func (f *Membership) View() *View { return f.view.Load() }

// Rank returns the index of this VM among the live ones, and their number.
func (f *Membership) Rank() (int, int) {
	v := f.View()
	return v.Rank, max(len(v.Live), 1)
}

// LastSeen returns when the last packet from another VM arrived.
func (f *Membership) LastSeen() time.Time { return time.Unix(0, f.lastSeen.Load()) }

// Removals returns how many times this VM has declared another dead.
func (f *Membership) Removals() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Removals()
}

// All returns every known VM, including dead ones.
func (f *Membership) All() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.All()
}

// publish makes the table's state the current view. Except in New, the caller must hold
// mu.
func (f *Membership) publish() {
	v := &View{Self: f.table.Self(), Live: f.table.Live()}
	for i, m := range v.Live {
		if m.Name == v.Self.Name {
			v.Rank = i
		}
	}
	f.view.Store(v)
}

// Run pings other VMs and updates the membership until ctx is done.
func (f *Membership) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f.send(f.update(func() []member.Outbound { return f.table.Tick(now) }))
		}
	}
}

// Receive handles packets from other VMs until ctx is done.
func (f *Membership) Receive(ctx context.Context) error {
	return f.transport.Run(ctx, func(p member.Packet) {
		f.lastSeen.Store(time.Now().UnixNano())
		f.send(f.update(func() []member.Outbound { return f.table.Receive(p, time.Now()) }))
		f.onReceive(p.From, p.SettingsVersion)
	})
}

// PollList reads the platform's VM list at intervals until ctx is done.
func (f *Membership) PollList(ctx context.Context) error {
	wait := firstListInterval
	for ctx.Err() == nil {
		list, err := f.lister.Members(ctx)
		if err == nil {
			wait = listInterval
			f.update(func() []member.Outbound {
				f.table.MergeList(list, time.Now())
				return nil
			})
		}
		retry.Sleep(ctx, wait)
	}
	return nil
}

// Leave announces that this VM is shutting down.
func (f *Membership) Leave() {
	f.send(f.update(func() []member.Outbound { return f.table.Leave(time.Now()) }))
}

// SendUpdates sends the queued updates and the settings version to the given VMs at once,
// instead of with the next pings and acks.
func (f *Membership) SendUpdates(to []member.Member) {
	f.send(f.update(func() []member.Outbound { return f.table.Announce(to) }))
}

func (f *Membership) update(apply func() []member.Outbound) []member.Outbound {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.SetSettingsVersion(f.settingsVersion())
	out := apply()
	if v := f.table.Version(); v != f.publishedVersion {
		f.publishedVersion = v
		f.publish()
	}
	return out
}

func (f *Membership) send(out []member.Outbound) {
	for i := range out {
		// The protocol tolerates lost datagrams, so a send error needs no handling.
		_ = f.transport.Send(out[i].To, &out[i].Packet)
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
