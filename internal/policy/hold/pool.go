package hold

import (
	"errors"
	"sync"
	"time"
)

// Class says what bytes are held for.
type Class uint8

// The classes.
const (
	Connections Class = iota // connections themselves, with their buffers
	Requests                 // requests that are being received or served
	Responses                // responses and events that clients have not read
	numClasses
)

const (
	// SmallBytes is the size up to which requests and responses are small. A small response is
	// never refused, and a part of the pool is left to small requests.
	SmallBytes = 64 << 10
	// stallTime is how long a client that has begun to send a request, or to read a response, may
	// make the VM wait before its connection may be reclaimed for a descriptor or for a response.
	stallTime = time.Second
	// reclaimWait bounds the wait for bytes that others are about to give back.
	reclaimWait = 500 * time.Millisecond
	// refusingTime is how long after it has refused a connection the pool counts as full.
	refusingTime = time.Second
)

// The shares of the pool, in eighths. Connections and requests leave room for each other and for
// responses, whose calls have run.
const (
	eighths           = 8
	connectionEighths = 4
	requestEighths    = 6 // small ones
	largeEighths      = 4 // requests over SmallBytes
)

// Errors of accounts.
var (
	// ErrExhausted reports that too little is left, and that nothing could be reclaimed.
	ErrExhausted = errors.New("hold: what the VM may hold for clients is used up")
	// ErrReclaimed reports that the account was reclaimed because others needed what it holds.
	ErrReclaimed = errors.New("hold: what was held for the client is needed for others")
)

// Limits are the limits of a pool.
type Limits struct {
	Memory int // bytes
	// Descriptors returns how many descriptors the process may have open; nil: any number.
	Descriptors func() int
}

// Pool is what the clients of a VM share. It is safe for concurrent use.
type Pool struct {
	size        int64 // bytes
	descriptors func() int

	mu         sync.Mutex
	held       [numClasses]int64
	reclaiming [numClasses]int64 // bytes that reclaimed accounts are about to give back
	waiting    [numStates]list
	changed    chan struct{} // closed when bytes are given back; nil: nobody waits
	clients    int           // open accounts of clients
	closing    int           // of these, reclaimed
	others     int           // descriptors of other connections
	stats      Stats
	refusedAt  time.Time // when a connection was refused last
}

// Stats counts what a pool has reclaimed and refused.
type Stats struct {
	Reclaimed          uint64 // connections
	RefusedRequests    uint64
	RefusedConnections uint64 // also those to servers, for lack of descriptors
	RefusedResponses   uint64
}

// NewPool returns a pool with the given limits.
func NewPool(l Limits) *Pool {
	p := &Pool{size: int64(l.Memory), descriptors: l.Descriptors}
	for s := range p.waiting {
		p.waiting[s].init()
	}
	return p
}

// Size returns how many bytes may be held.
func (p *Pool) Size() int { return int(p.size) }

// LargestRequest returns how many bytes a single request may hold.
func (p *Pool) LargestRequest() int { return int(p.size * largeEighths / eighths) }

// Held returns how many bytes of a class are held.
func (p *Pool) Held(c Class) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.held[c])
}

// Stats returns what has been reclaimed and refused so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Refusing reports whether connections of clients are being refused.
func (p *Pool) Refusing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.refusedAt) < refusingTime
}

// coming returns how many bytes are about to be given back, of a class or in all.
func (p *Pool) coming(c Class, ofClass bool) int64 {
	if ofClass {
		return p.reclaiming[c]
	}
	var n int64
	for _, bytes := range p.reclaiming {
		n += bytes
	}
	return n
}

func (p *Pool) total() int64 {
	var n int64
	for _, held := range p.held {
		n += held
	}
	return n
}

// excess returns by how many bytes the limits would be exceeded if an account held more of a
// class, and whether the limit of the class is.
func (p *Pool) excess(a *Account, c Class, more int64) (n int64, ofClass bool) {
	n = p.total() + more - p.size
	share := int64(eighths)
	switch {
	case c == Connections:
		share = connectionEighths
	case c == Requests && a.held[c]+more > SmallBytes:
		share = largeEighths
	case c == Requests:
		share = requestEighths
	}
	if over := p.held[c] + more - p.size*share/eighths; share < eighths && over > 0 {
		return max(n, over), true
	}
	return n, false
}

// victim returns the account to reclaim next so that a class has room, or nil.
func (p *Pool) victim(c Class, ofClass bool, now time.Time) *Account {
	if c == Connections {
		return p.oldest(now)
	}
	if a := p.waiting[Idle].first(); a != nil && !ofClass {
		return a
	}
	return p.heaviest(now)
}

// heaviest returns the account that has held most bytes for longest while it waits for its client
// in the middle of a request or response, or nil.
func (p *Pool) heaviest(now time.Time) *Account {
	var out *Account
	var most float64
	for _, s := range []State{Receiving, Sending} {
		for a := p.waiting[s].first(); a != nil; a = p.waiting[s].after(a) {
			age := now.Sub(a.since)
			if s == Sending && age < stallTime {
				break // the others of the list are younger
			}
			if weight := float64(a.bytes()) * age.Seconds(); weight >= most {
				out, most = a, weight
			}
		}
	}
	return out
}

// reclaim marks an account as reclaimed, with the state that its interrupt function gets: Idle if the
// connection itself is needed. That function has to be called afterwards, without the lock.
func (p *Pool) reclaim(a *Account, as State) {
	p.unlink(a)
	a.reclaimed, a.reclaimedAs = true, as
	for c, held := range a.held {
		if a.givesBack(Class(c)) {
			p.reclaiming[c] += held
		}
	}
	if a.isClient {
		p.closing++
	}
	p.stats.Reclaimed++
	p.notify() // the account itself may be waiting for bytes
}

func (p *Pool) unlink(a *Account) {
	if a.state != Busy && !a.reclaimed {
		p.waiting[a.state].remove(a)
	}
}

// notify wakes those who wait for bytes, to try again.
func (p *Pool) notify() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// await returns a channel that is closed when bytes are given back.
func (p *Pool) await() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Pool) countRefusal(c Class, now time.Time) {
	switch c {
	case Connections:
		p.stats.RefusedConnections++
		p.refusedAt = now
	case Requests:
		p.stats.RefusedRequests++
	case Responses:
		p.stats.RefusedResponses++
	}
}
