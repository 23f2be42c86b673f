package homes

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
)

const (
	// firstWait is how long a home may take to answer an ask: a millisecond each
	// way, and more on a VM with a fifth of a core. The ask is repeated twice in
	// it, as a datagram may be lost.
	firstWait = 60 * time.Millisecond
	repeats   = 3
	// renewEvery is how often an ask that waits is repeated.
	renewEvery = 150 * time.Millisecond
	// silentTime is how long a home that did not answer is not asked.
	silentTime = time.Second
	// strays is how often a granted server that this VM knows to leave is given back.
	strays = 3
	// candidates is how many VMs of the order are asked before a VM decides alone.
	candidates = 2
)

// Peer is a VM that may be a home.
type Peer struct {
	VM   ident.VM
	Addr netip.AddrPort // not valid: this VM
}

// Post carries asks to other VMs.
type Post interface {
	Ask(to netip.AddrPort, a Ask)
}

// Desk places the runs of one VM. It is safe for use by several goroutines.
type Desk struct {
	vm      ident.VM
	chooser *Chooser
	home    *Home
	order   func(ident.Service, time.Time) []Peer
	post    Post
	log     *zap.Logger

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan Answer
	silent  map[ident.VM]time.Time // until when a VM is not asked
}

// NewDesk makes a desk. The order is that of the VMs that decide for a service;
// home is this VM's own. Numbers of asks begin after boot.
func NewDesk(vm ident.VM, boot uint64, c *Chooser, home *Home, order func(ident.Service, time.Time) []Peer, post Post, log *zap.Logger) *Desk {
	return &Desk{
		vm: vm, chooser: c, home: home, order: order, post: post, log: log,
		number: boot, waiting: make(map[uint64]chan Answer), silent: make(map[ident.VM]time.Time),
	}
}

// Place returns where a run goes. Its error is ErrNoServer, a *NoRoomError or
// the context's.
func (d *Desk) Place(ctx context.Context, w Want) (Spot, error) {
	start := time.Now()
	want := w
	want.Skip = append(slices.Clone(w.Skip), d.chooser.Distrusted(w.Service, start)...)
	for range strays {
		a, err := d.ask(ctx, want)
		if err != nil {
			break
		}
		switch a.State {
		case Full:
			return Spot{}, &NoRoomError{Retry: a.Retry, Ahead: a.Ahead}
		case NoServer:
			// The home may know less than this VM.
			return d.alone(ctx, w, start)
		}
		view := d.chooser.servers.View()
		s, b := view.Server(a.Server), view.Server(a.Backup)
		if b != nil && b.Leaving {
			b = nil
		}
		if s != nil && !s.Leaving {
			return Spot{Server: s, Backup: b}, nil
		}
		want.Skip = append(want.Skip, a.Server)
	}
	if err := ctx.Err(); err != nil {
		return Spot{}, err
	}
	return d.alone(ctx, w, start)
}

// alone decides by what this VM knows. Nobody orders those who wait, so nobody
// waits until it begins late.
func (d *Desk) alone(ctx context.Context, w Want, start time.Time) (Spot, error) {
	wait := time.NewTimer(max(0, min(w.Due, w.Wait)-time.Since(start)))
	defer wait.Stop()
	for {
		changed := d.chooser.seats.Changed()
		spot, err := d.chooser.choose(&w, nil, time.Now())
		if _, full := err.(*NoRoomError); !full { //nolint:errorlint // choose wraps nothing
			return spot, err
		}
		select {
		case <-ctx.Done():
			return Spot{}, ctx.Err()
		case <-changed:
		case <-wait.C:
			return Spot{}, &NoRoomError{Retry: leastRetry}
		}
	}
}

// ask asks the home, or the VM that takes its place.
func (d *Desk) ask(ctx context.Context, w Want) (Answer, error) {
	asked := 0
	for _, p := range d.order(w.Service, time.Now()) {
		if d.isSilent(p.VM) {
			continue
		}
		a, err := d.askOne(ctx, p, w)
		if err == nil || ctx.Err() != nil {
			return a, err
		}
		d.setSilent(p.VM)
		if asked++; asked == candidates {
			break
		}
	}
	return Answer{}, errSilent
}

func (d *Desk) isSilent(vm ident.VM) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.silent[vm])
}

func (d *Desk) setSilent(vm ident.VM) {
	d.mu.Lock()
	d.silent[vm] = time.Now().Add(silentTime)
	d.mu.Unlock()
	d.log.Info("home does not answer", zap.String("home", string(vm)))
}

func (d *Desk) open() (uint64, chan Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	ch := make(chan Answer, 2*repeats)
	d.waiting[d.number] = ch
	return d.number, ch
}

func (d *Desk) close(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, number)
}

// Answered takes an answer to an ask.
func (d *Desk) Answered(a Answer) {
	d.mu.Lock()
	ch := d.waiting[a.Number]
	d.mu.Unlock()
	select {
	case ch <- a:
	default:
		// Nobody waits for it, or the same was answered several times.
	}
}

// askOne asks one VM until it has decided.
func (d *Desk) askOne(ctx context.Context, p Peer, w Want) (Answer, error) {
	number, ch := d.open()
	defer d.close(number)
	start := time.Now()
	heard, every := start, firstWait/repeats
	for {
		w := w
		w.Wait = max(0, w.Wait-time.Since(start))
		w.Due = max(0, w.Due-time.Since(start))
		d.send(p, Ask{VM: d.vm, Number: number, Want: w})
		again := time.NewTimer(every)
		select {
		case a := <-ch:
			again.Stop()
			if a.State != Waiting {
				return a, nil
			}
			heard, every = time.Now(), renewEvery
			if a, ok := d.await(ctx, ch, renewEvery); ok {
				return a, nil
			}
		case <-again.C:
		case <-ctx.Done():
			again.Stop()
		}
		if err := ctx.Err(); err != nil {
			return Answer{}, err
		}
		if time.Since(heard) >= repeats*every {
			return Answer{}, errSilent
		}
	}
}

// await waits for the decision on an ask that waits.
func (d *Desk) await(ctx context.Context, ch chan Answer, limit time.Duration) (Answer, bool) {
	t := time.NewTimer(limit)
	defer t.Stop()
	for {
		select {
		case a := <-ch:
			if a.State != Waiting {
				return a, true
			}
		case <-t.C:
			return Answer{}, false
		case <-ctx.Done():
			return Answer{}, false
		}
	}
}

func (d *Desk) send(p Peer, a Ask) {
	if p.Addr.IsValid() {
		d.post.Ask(p.Addr, a)
		return
	}
	d.home.Take(a, d.Answered, time.Now())
}
