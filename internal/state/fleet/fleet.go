// Package fleet runs the membership of one VM: it drives the state machine of
// package member with datagrams, time and the platform's list, and offers the
// live VMs to the request path as one atomic read.
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
	tick      = 50 * time.Millisecond
	listEvery = 5 * time.Second
	listFirst = 500 * time.Millisecond // until the list was read once
)

// Transport carries packets between VMs.
type Transport interface {
	Send(to netip.AddrPort, p *member.Packet) error
	Run(ctx context.Context, take func(member.Packet)) error
}

// Lister reads the platform's list of VMs. Leaving VMs are not on it.
type Lister interface {
	Members(ctx context.Context) ([]member.Member, error)
}

// View is the membership at one moment. It is immutable.
type View struct {
	Self member.Member
	Live []member.Member // by name
	Rank int             // of this VM among the live ones, 0 if it leaves
}

// Fleet is the membership of one VM. It is safe for use by several
// goroutines.
type Fleet struct {
	transport Transport
	lister    Lister
	mark      func() member.Mark
	heard     func(member.Member, member.Mark)

	mu    sync.Mutex
	table *member.Table
	shown uint64 // the version that view shows
	view  atomic.Pointer[View]
	last  atomic.Int64 // when something was last heard, in Unix nanoseconds
}

// New makes the membership. mark tells which settings this VM has in force; heard
// is told the same of each VM heard from, and must not block.
func New(table *member.Table, t Transport, l Lister, mark func() member.Mark, heard func(member.Member, member.Mark)) *Fleet {
	f := &Fleet{transport: t, lister: l, mark: mark, heard: heard, table: table}
	f.publish()
	return f
}

// View returns the present membership.
func (f *Fleet) View() *View { return f.view.Load() }

// Rank returns this VM's number among the n live ones.
func (f *Fleet) Rank() (int, int) {
	v := f.View()
	return v.Rank, max(len(v.Live), 1)
}

// Heard returns when another VM was last heard.
func (f *Fleet) Heard() time.Time { return time.Unix(0, f.last.Load()) }

// Removals returns how many times this VM took another for dead.
func (f *Fleet) Removals() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Removals()
}

// All returns every VM known, dead ones too.
func (f *Fleet) All() []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.All()
}

// publish makes the table's view the present one. The caller holds mu, or is
// New.
func (f *Fleet) publish() {
	v := &View{Self: f.table.Self(), Live: f.table.Live()}
	for i, m := range v.Live {
		if m.Name == v.Self.Name {
			v.Rank = i
		}
	}
	f.view.Store(v)
}

// Run keeps the membership until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f.send(f.step(func() []member.Outbound { return f.table.Tick(now) }))
		}
	}
}

// Receive takes other VMs' packets until ctx ends.
func (f *Fleet) Receive(ctx context.Context) error {
	return f.transport.Run(ctx, func(p member.Packet) {
		f.last.Store(time.Now().UnixNano())
		f.send(f.step(func() []member.Outbound { return f.table.Receive(p, time.Now()) }))
		f.heard(p.From, p.Mark)
	})
}

// Follow reads the platform's list now and then until ctx ends.
func (f *Fleet) Follow(ctx context.Context) error {
	wait := listFirst
	for ctx.Err() == nil {
		list, err := f.lister.Members(ctx)
		if err == nil {
			wait = listEvery
			f.step(func() []member.Outbound {
				f.table.List(list, time.Now())
				return nil
			})
		}
		retry.Pause(ctx, wait)
	}
	return nil
}

// Leave announces that this VM leaves.
func (f *Fleet) Leave() {
	f.send(f.step(func() []member.Outbound { return f.table.Leave(time.Now()) }))
}

// Notify tells VMs at once what this one would tell them in time.
func (f *Fleet) Notify(to []member.Member) {
	f.send(f.step(func() []member.Outbound { return f.table.Announce(to) }))
}

func (f *Fleet) step(do func() []member.Outbound) []member.Outbound {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.SetSettings(f.mark())
	out := do()
	if v := f.table.Version(); v != f.shown {
		f.shown = v
		f.publish()
	}
	return out
}

func (f *Fleet) send(out []member.Outbound) {
	for i := range out {
		// A datagram that was not sent is one that was lost.
		_ = f.transport.Send(out[i].To, &out[i].Packet)
	}
}

// Domain returns the live VMs of a failure domain.
func (v *View) Domain(d ident.Domain) []member.Member {
	var out []member.Member
	for _, m := range v.Live {
		if m.Domain == d {
			out = append(out, m)
		}
	}
	return out
}
