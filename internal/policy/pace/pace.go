package pace

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// down and up are the weights of a new figure that is lower or higher than
	// what is known. Prompts that are read between tokens stretch the time of some
	// tokens to twice the engine's own, so that lower figures say more; an engine
	// that turns slow is known after some ten figures.
	down = 0.5
	up   = 0.1
	// keep is how long a figure holds without a new one.
	keep = 5 * time.Second
	// fresh is how long a VM tells the others what it saw.
	fresh = 2 * time.Second
)

// Book holds what is known of the engines' speeds, as the time per token. It is
// safe for use by several goroutines.
type Book struct {
	mu    sync.Mutex
	own   map[ident.Server]seen
	peers map[ident.VM]map[ident.Server]seen
}

type seen struct {
	pace time.Duration
	at   time.Time
}

// New makes a book of engines whose speeds are not known.
func New() *Book {
	return &Book{own: make(map[ident.Server]seen), peers: make(map[ident.VM]map[ident.Server]seen)}
}

// Note takes the time per token of some tokens of one stream of this VM.
func (b *Book) Note(id ident.Server, pace time.Duration, now time.Time) {
	if pace <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.own[id]
	if !ok || now.Sub(s.at) > keep {
		b.own[id] = seen{pace: pace, at: now}
		return
	}
	weight := up
	if pace < s.pace {
		weight = down
	}
	s.pace += time.Duration(weight * float64(pace-s.pace))
	s.at = now
	b.own[id] = s
}

// Own returns what this VM saw lately.
func (b *Book) Own(now time.Time) map[ident.Server]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ident.Server]time.Duration, len(b.own))
	for id, s := range b.own {
		if now.Sub(s.at) > keep {
			delete(b.own, id)
			continue
		}
		if now.Sub(s.at) <= fresh {
			out[id] = s.pace
		}
	}
	return out
}

// Hear takes what another VM saw lately.
func (b *Book) Hear(vm ident.VM, paces map[ident.Server]time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.peers[vm]
	if known == nil {
		known = make(map[ident.Server]seen)
		b.peers[vm] = known
	}
	for id, p := range paces {
		known[id] = seen{pace: p, at: now}
	}
	for id, s := range known {
		if now.Sub(s.at) > keep {
			delete(known, id)
		}
	}
}

// All returns the time per token at each engine that is known, as the mean of
// what the VMs saw.
func (b *Book) All(now time.Time) map[ident.Server]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := make(map[ident.Server]time.Duration, len(b.own))
	count := make(map[ident.Server]time.Duration, len(b.own))
	add := func(list map[ident.Server]seen) {
		for id, s := range list {
			if now.Sub(s.at) <= keep {
				sum[id] += s.pace
				count[id]++
			}
		}
	}
	add(b.own)
	for _, list := range b.peers {
		add(list)
	}
	for id := range sum {
		sum[id] /= count[id]
	}
	return sum
}
