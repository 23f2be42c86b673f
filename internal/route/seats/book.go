package seats

import (
	"maps"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

// PeerTTL is how long another VM's figures count without news of it. VMs tell
// each other at least every half second, so three losses in a row are borne.
const PeerTTL = 2 * time.Second

// forgetPeer is how long the number of another VM's last message is kept: a
// message can't be under way for longer.
const forgetPeer = time.Minute

// Load is work under way at one server.
type Load struct {
	Seats   int // calls
	Tokens  int // memory they are expected to take at their end
	Backlog int // prompt tokens that are not known to be read yet
	Copies  int // caches under way to it
	Sends   int // caches under way from it, beside those that grow with their runs
}

// Plus returns the loads together.
func (l Load) Plus(o Load) Load {
	return Load{Seats: l.Seats + o.Seats, Tokens: l.Tokens + o.Tokens, Backlog: l.Backlog + o.Backlog, Copies: l.Copies + o.Copies, Sends: l.Sends + o.Sends}
}

func (l Load) minus(o Load) Load {
	return Load{Seats: l.Seats - o.Seats, Tokens: l.Tokens - o.Tokens, Backlog: l.Backlog - o.Backlog, Copies: l.Copies - o.Copies, Sends: l.Sends - o.Sends}
}

// Book holds the loads. It is safe for use by several goroutines.
type Book struct {
	mu      sync.Mutex
	own     map[ident.Server]Load
	peers   map[ident.VM]peer
	others  map[ident.Server]Load // sum of the peers' loads
	changed chan struct{}         // closed at the next change that may make room
	dirty   chan struct{}         // has an element once own loads changed
}

type peer struct {
	at   time.Time
	boot uint64
	seq  uint64
	load map[ident.Server]Load
}

// New makes an empty book.
func New() *Book {
	return &Book{
		own:     make(map[ident.Server]Load),
		peers:   make(map[ident.VM]peer),
		others:  make(map[ident.Server]Load),
		changed: make(chan struct{}),
		dirty:   make(chan struct{}, 1),
	}
}

// Seat is one call's part of a server's load.
type Seat struct {
	book   *Book
	server ident.Server
	load   Load
	ended  bool
}

// Take counts a call at a server.
func (b *Book) Take(server ident.Server, l Load) *Seat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own[server] = b.own[server].Plus(l)
	b.mark(l)
	return &Seat{book: b, server: server, load: l}
}

// Resize changes what the call takes.
func (s *Seat) Resize(l Load) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	if s.ended || l == s.load {
		return
	}
	s.book.own[s.server] = s.book.own[s.server].minus(s.load).Plus(l)
	s.load = l
	s.book.mark(l)
}

// Load returns what the call takes.
func (s *Seat) Load() Load {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	return s.load
}

// Release ends the call's part. Further calls do nothing.
func (s *Seat) Release() {
	if s == nil {
		return
	}
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	left := s.book.own[s.server].minus(s.load)
	if left == (Load{}) {
		delete(s.book.own, s.server)
	} else {
		s.book.own[s.server] = left
	}
	s.book.mark(s.load)
	s.book.wake()
}

// mark notes that own loads changed. Calls of plain servers are over before
// others could act on them; they are told with the next regular message.
func (b *Book) mark(l Load) {
	if l.Tokens == 0 && l.Sends == 0 {
		return
	}
	select {
	case b.dirty <- struct{}{}:
	default:
	}
}

func (b *Book) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Dirty has an element once own loads changed since the last receive.
func (b *Book) Dirty() <-chan struct{} { return b.dirty }

// Changed returns a channel that is closed once there may be more room.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Own returns this VM's loads.
func (b *Book) Own() map[ident.Server]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.own)
}

// Hear takes another VM's loads, unless later ones were heard already. Those of
// further parts of the same message are added.
func (b *Book) Hear(vm ident.VM, boot, seq uint64, part int, load map[ident.Server]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[vm]
	more := boot == p.boot && seq == p.seq && part > 0
	if boot < p.boot || boot == p.boot && seq <= p.seq && !more {
		return
	}
	for s, l := range load {
		b.others[s] = b.others[s].Plus(l)
	}
	if more {
		maps.Copy(load, p.load)
	} else {
		b.forget(p)
	}
	b.peers[vm] = peer{at: now, boot: boot, seq: seq, load: load}
	b.wake()
}

// forget takes what a peer told out of the sum.
func (b *Book) forget(p peer) {
	for s, l := range p.load {
		left := b.others[s].minus(l)
		if left == (Load{}) {
			delete(b.others, s)
			continue
		}
		b.others[s] = left
	}
}

// All returns the loads of all VMs heard lately.
func (b *Book) All(now time.Time) map[ident.Server]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	for vm, p := range b.peers {
		if now.Sub(p.at) <= PeerTTL {
			continue
		}
		b.forget(p)
		p.load = nil
		b.peers[vm] = p
		if now.Sub(p.at) > forgetPeer {
			delete(b.peers, vm)
		}
	}
	all := maps.Clone(b.own)
	for s, l := range b.others {
		all[s] = all[s].Plus(l)
	}
	return all
}
