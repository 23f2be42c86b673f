package hold

import "time"

// State says what a connection waits for.
type State uint8

// The states.
const (
	Busy      State = iota // nothing that its client has to do
	Idle                   // the client's next request
	Receiving              // the rest of a request
	Sending                // the client, to read
	numStates
)

// Account is what is held for one client, or for another holder. It is safe for concurrent use.
type Account struct {
	pool      *Pool
	interrupt func(State) // nil: the account is never reclaimed
	isClient  bool

	// The lock of the pool guards the fields below.
	held      [numClasses]int64
	pending   int64 // bytes that the client has to read, which another account holds
	state     State
	since     time.Time // of the state
	reclaimed bool
	closed    bool

	reclaimedAs State // does not change once the account is reclaimed

	prev *Account // in the list of the state
	next *Account
}

// Account returns an account that is never reclaimed, for what is held for several clients or has
// no client.
func (p *Pool) Account() *Account { return &Account{pool: p} }

// Open returns the account of a new connection of a client, which takes a descriptor. If the
// account is reclaimed, interrupt is called with the state in which that happened, or with Idle if the
// connection itself is needed: it has to end the wait for the client without blocking. The error is
// ErrExhausted if there is no descriptor.
func (p *Pool) Open(interrupt func(State)) (*Account, error) {
	now := time.Now()
	p.mu.Lock()
	victims, ok := p.freeDescriptors(now)
	a := &Account{pool: p, interrupt: interrupt, isClient: true}
	if ok {
		p.clients++
	} else {
		p.countRefusal(Connections, now)
	}
	p.mu.Unlock()
	interruptAll(victims)
	if !ok {
		return nil, ErrExhausted
	}
	return a, nil
}

// givesBack reports whether the account, now that it is reclaimed, gives back its bytes of a class
// soon. A client whose request is refused is still connected until it has read the response.
func (a *Account) givesBack(c Class) bool { return a.reclaimedAs != Receiving || c != Connections }

// bytes returns what the pool gains if the account is reclaimed.
func (a *Account) bytes() int64 {
	n := a.pending
	for _, held := range a.held {
		n += held
	}
	return n
}

// SetState states what the connection waits for, and how many bytes the client has to read that
// another account holds. It returns ErrReclaimed if the account was reclaimed. An account that is
// closed waits for nothing.
func (a *Account) SetState(s State, pending int) error {
	now := time.Now()
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case a.reclaimed:
		return ErrReclaimed
	case a.closed:
		return nil
	}
	p.unlink(a)
	a.state, a.since, a.pending = s, now, int64(pending)
	if s != Busy {
		p.waiting[s].add(a)
	}
	return nil
}

// Reclaimed reports whether the account was reclaimed.
func (a *Account) Reclaimed() bool {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.reclaimed
}

// Hold states that the account now holds n bytes of a class, more or fewer than before. If too
// little is left, it reclaims other accounts, and waits until they have given back what they hold.
// Its error is ErrExhausted or ErrReclaimed, and the account is then as it was. It never fails for
// fewer bytes than before, and not for a small response. An account that is closed holds nothing.
func (a *Account) Hold(c Class, n int) error {
	if a.tryHold(c, int64(n)) {
		return nil
	}
	for end := time.Now().Add(reclaimWait); ; {
		victims, verdict, changed := a.admit(c, int64(n), time.Now(), end)
		interruptAll(victims)
		switch {
		case verdict == granted:
			return nil
		case verdict == refused && a.Reclaimed():
			return ErrReclaimed
		case verdict == refused:
			return ErrExhausted
		}
		timer := time.NewTimer(time.Until(end))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryHold is like Hold, but reports false where that has to reclaim other accounts.
func (a *Account) tryHold(c Class, n int64) bool {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.closed {
		return true
	}
	if more := n - a.held[c]; more > 0 {
		excess, _ := p.excess(a, c, more)
		if a.reclaimed || excess > 0 {
			return false
		}
	}
	a.set(c, n)
	return true
}

// verdict is the outcome of a request for bytes.
type verdict uint8

const (
	granted verdict = iota
	delayed         // others are about to give bytes back
	refused
)

// admit decides whether an account may hold n bytes of a class, and reclaims others if too little
// is left. If the decision is delayed, which ends at the given time, the channel is closed when
// bytes are given back.
func (a *Account) admit(c Class, n int64, now, end time.Time) ([]*Account, verdict, <-chan struct{}) {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.reclaimed {
		return nil, refused, nil
	}
	victims, v := p.makeRoom(a, c, n, now)
	switch {
	case v == granted:
		a.set(c, n)
	case v == delayed && now.Before(end):
		return victims, delayed, p.await()
	default:
		v = refused
		p.countRefusal(c, now)
	}
	return victims, v, nil
}

// makeRoom reclaims accounts so that a may hold n bytes of a class.
func (p *Pool) makeRoom(a *Account, c Class, n int64, now time.Time) ([]*Account, verdict) {
	excess, ofClass := p.excess(a, c, n-a.held[c])
	var victims []*Account
	for excess > p.coming(c, ofClass) {
		v := p.victim(c, ofClass, now)
		if v == nil || v == a {
			break
		}
		as := v.state
		if c == Connections {
			as = Idle
		}
		p.reclaim(v, as)
		victims = append(victims, v)
	}
	switch {
	case excess <= 0, c == Responses && n <= SmallBytes:
		return victims, granted
	case p.coming(c, ofClass) > 0:
		return victims, delayed
	case c == Requests && n > SmallBytes:
		return victims, delayed // calls under way may end
	default:
		return victims, refused
	}
}

func (a *Account) set(c Class, n int64) {
	p := a.pool
	if n < a.held[c] {
		p.notify()
	}
	if a.reclaimed && a.givesBack(c) {
		p.reclaiming[c] += n - a.held[c]
	}
	p.held[c] += n - a.held[c]
	a.held[c] = n
}

// Close gives back all that the account holds, and its descriptor.
func (a *Account) Close() {
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	p.unlink(a)
	for c := range a.held {
		a.set(Class(c), 0)
	}
	if a.isClient {
		p.clients--
		if a.reclaimed {
			p.closing--
		}
	}
}

func interruptAll(list []*Account) {
	for _, a := range list {
		a.interrupt(a.reclaimedAs)
	}
}

// list is a list of accounts in the order in which they entered their state.
type list struct{ head Account }

func (l *list) init() { l.head.prev, l.head.next = &l.head, &l.head }

func (l *list) first() *Account { return l.after(&l.head) }

func (l *list) after(a *Account) *Account {
	if a.next == &l.head {
		return nil
	}
	return a.next
}

func (l *list) add(a *Account) {
	a.prev, a.next = l.head.prev, &l.head
	a.prev.next, a.next.prev = a, a
}

func (l *list) remove(a *Account) {
	a.prev.next, a.next.prev = a.next, a.prev
	a.prev, a.next = nil, nil
}
