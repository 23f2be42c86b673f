package delta

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/follow"
)

// peerTTL is how long the revision that a VM reported is kept.
const peerTTL = 15 * time.Second

// Source provides the changes.
type Source interface {
	// RecentChanges returns the changes for a VM whose revision is not known.
	RecentChanges(now time.Time) (follow.Update, bool)
	// ChangesSince returns the changes after a revision.
	ChangesSince(rev follow.Revision, now time.Time) (follow.Update, bool)
}

// Sender selects the changes for each VM. It is safe for concurrent use.
type Sender struct {
	src Source

	mu       sync.Mutex
	peers    map[ident.VM]*peer
	purgedAt time.Time
}

// peer is what is known of another VM.
type peer struct {
	at       time.Time       // when its last message arrived
	reported follow.Revision // that it knew then
	sent     follow.Revision // up to which changes were sent to it
}

// NewSender returns a Sender of the changes in src.
func NewSender(src Source) *Sender { return &Sender{src: src, peers: make(map[ident.VM]*peer)} }

// Record records the revision that another VM has reported; zero: it does not know all
// servers.
func (s *Sender) Record(vm ident.VM, rev follow.Revision, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[vm]
	if p == nil {
		p = &peer{}
		s.peers[vm] = p
	}
	p.at, p.reported = now, rev
	s.purge(now)
}

func (s *Sender) purge(now time.Time) {
	if now.Sub(s.purgedAt) < peerTTL {
		return
	}
	s.purgedAt = now
	for vm, p := range s.peers {
		if now.Sub(p.at) > peerTTL {
			delete(s.peers, vm)
		}
	}
}

// Missing returns the changes after the revision that a VM has reported, or nil if there is
// nothing to send. compact reports whether the VM reports its revision; the updates for
// other VMs must have the format that VMs without this package understand.
func (s *Sender) Missing(vm ident.VM, now time.Time) (u *follow.Update, compact bool) {
	return s.selectFor(vm, now, func(p *peer) follow.Revision { return p.reported })
}

// New is like Missing, without the changes that were already sent to the VM. If one of these
// messages was lost, the VM reports a revision before the update's Base.
func (s *Sender) New(vm ident.VM, now time.Time) (u *follow.Update, compact bool) {
	return s.selectFor(vm, now, func(p *peer) follow.Revision { return max(p.reported, p.sent) })
}

func (s *Sender) selectFor(vm ident.VM, now time.Time, since func(p *peer) follow.Revision) (u *follow.Update, compact bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[vm]
	if p == nil {
		return optional(s.src.RecentChanges(now)), false
	}
	if p.reported == 0 {
		return nil, true // it needs the complete list
	}
	u = optional(s.src.ChangesSince(since(p), now))
	if u != nil {
		p.sent = u.Rev
	}
	return u, true
}

func optional(u follow.Update, ok bool) *follow.Update {
	if !ok {
		return nil
	}
	return &u
}
