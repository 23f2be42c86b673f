package desk

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/hubs"
)

// errSilent says that the home does not answer.
var errSilent = errors.New("desk: the home does not answer")

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
	// strays is how often a granted server that this VM knows not to take calls is given back.
	strays = 3
	// candidates is how many VMs of the order are asked before a VM decides alone.
	candidates = 2
)

// Post carries asks to other VMs.
type Post interface {
	Ask(to netip.AddrPort, a homes.Ask)
}

// Desk places the runs of one VM. It is safe for use by several goroutines.
type Desk struct {
	vm      ident.VM
	chooser *pick.Chooser
	home    *homes.Home
	order   func(ident.Service, time.Time) []hubs.Rank
	post    Post
	count   func(outcome string)
	log     *zap.Logger

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan homes.Answer
	silent  map[ident.VM]time.Time // until when a VM is not asked
	homes   map[ident.Service]ident.VM
}

// New makes a desk. The order is that of the VMs that decide for a service;
// home is this VM's own. Numbers of asks begin after boot. Each placement is
// counted by its outcome.
func New(vm ident.VM, boot uint64, c *pick.Chooser, home *homes.Home, order func(ident.Service, time.Time) []hubs.Rank, post Post, count func(outcome string), log *zap.Logger) *Desk {
	return &Desk{
		vm: vm, chooser: c, home: home, order: order, post: post, count: count, log: log,
		number: boot, waiting: make(map[uint64]chan homes.Answer), silent: make(map[ident.VM]time.Time),
		homes: make(map[ident.Service]ident.VM),
	}
}

// Outcomes of placements.
const (
	byHome   = "by-home"
	byItself = "alone"
	noRoom   = "no-room"
	noOne    = "no-server"
	left     = "client-left"
)

// Place returns where a run goes. Its error is pick.ErrNoServer, a
// *pick.NoRoomError or the context's.
func (d *Desk) Place(ctx context.Context, w pick.Want) (pick.Spot, error) {
	spot, outcome, err := d.place(ctx, w)
	var full *pick.NoRoomError
	switch {
	case errors.As(err, &full):
		outcome = noRoom
	case errors.Is(err, pick.ErrNoServer):
		outcome = noOne
	case err != nil:
		outcome = left
	}
	d.count(outcome)
	return spot, err
}

// place returns where a run goes and who decided it.
func (d *Desk) place(ctx context.Context, w pick.Want) (pick.Spot, string, error) {
	start := time.Now()
	w.Skip = append(slices.Clone(w.Skip), d.chooser.Paused(w.Service, start)...)
	want := w
	want.Skip = append(slices.Clone(w.Skip), d.chooser.Distrusted(w.Service, start)...)
	for range strays {
		a, err := d.ask(ctx, want)
		if err != nil {
			break
		}
		switch a.State {
		case homes.Full:
			return pick.Spot{}, byHome, &pick.NoRoomError{Retry: a.Retry, Ahead: a.Ahead}
		case homes.NoServer:
			// The home may know less than this VM.
			spot, err := d.alone(ctx, w, start)
			return spot, byItself, err
		}
		view := d.chooser.View()
		s, b := view.Server(a.Server), view.Server(a.Backup)
		if b != nil && b.Leaving {
			b = nil
		}
		if s != nil && !s.Leaving && !d.chooser.IsPaused(s.ID, time.Now()) {
			return pick.Spot{Server: s, Backup: b}, byHome, nil
		}
		want.Skip = append(want.Skip, a.Server)
	}
	if err := ctx.Err(); err != nil {
		return pick.Spot{}, byHome, err
	}
	spot, err := d.alone(ctx, w, start)
	return spot, byItself, err
}

// alone decides by what this VM knows. Nobody orders those who wait, so nobody
// waits until it begins late.
func (d *Desk) alone(ctx context.Context, w pick.Want, start time.Time) (pick.Spot, error) {
	wait := time.NewTimer(max(0, min(w.Due, w.Wait)-time.Since(start)))
	defer wait.Stop()
	for {
		changed := d.chooser.Changed()
		spot, err := d.chooser.Choose(&w, nil, time.Now())
		var full *pick.NoRoomError
		if !errors.As(err, &full) {
			return spot, err
		}
		select {
		case <-ctx.Done():
			return pick.Spot{}, ctx.Err()
		case <-changed:
		case <-wait.C:
			return pick.Spot{}, &pick.NoRoomError{Retry: homes.LeastRetry}
		}
	}
}

// ask asks the home, or the VM that takes its place.
func (d *Desk) ask(ctx context.Context, w pick.Want) (homes.Answer, error) {
	asked := 0
	order := d.order(w.Service, time.Now())
	d.noteHome(w.Service, order)
	for _, p := range order {
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
	return homes.Answer{}, errSilent
}

// noteHome logs that another VM decides for a service than did.
func (d *Desk) noteHome(s ident.Service, order []hubs.Rank) {
	if len(order) == 0 {
		return
	}
	d.mu.Lock()
	old := d.homes[s]
	d.homes[s] = order[0].VM
	d.mu.Unlock()
	if old != order[0].VM {
		d.log.Info("home changed", zap.String("service", string(s)), zap.String("from", string(old)),
			zap.String("to", string(order[0].VM)), zap.Bool("this-vm", !order[0].Addr.IsValid()))
	}
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

func (d *Desk) open() (uint64, chan homes.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	ch := make(chan homes.Answer, 2*repeats)
	d.waiting[d.number] = ch
	return d.number, ch
}

func (d *Desk) close(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, number)
}

// Answered takes an answer to an ask.
func (d *Desk) Answered(a homes.Answer) {
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
func (d *Desk) askOne(ctx context.Context, p hubs.Rank, w pick.Want) (homes.Answer, error) {
	number, ch := d.open()
	defer d.close(number)
	start := time.Now()
	heard, every := start, firstWait/repeats
	for {
		w := w
		w.Wait = max(0, w.Wait-time.Since(start))
		w.Due = max(0, w.Due-time.Since(start))
		d.send(p, homes.Ask{VM: d.vm, Number: number, Want: w})
		again := time.NewTimer(every)
		select {
		case a := <-ch:
			again.Stop()
			if a.State != homes.Waiting {
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
			return homes.Answer{}, err
		}
		if time.Since(heard) >= repeats*every {
			return homes.Answer{}, errSilent
		}
	}
}

// await waits for the decision on an ask that waits.
func (d *Desk) await(ctx context.Context, ch chan homes.Answer, limit time.Duration) (homes.Answer, bool) {
	t := time.NewTimer(limit)
	defer t.Stop()
	for {
		select {
		case a := <-ch:
			if a.State != homes.Waiting {
				return a, true
			}
		case <-t.C:
			return homes.Answer{}, false
		case <-ctx.Done():
			return homes.Answer{}, false
		}
	}
}

func (d *Desk) send(p hubs.Rank, a homes.Ask) {
	if p.Addr.IsValid() {
		d.post.Ask(p.Addr, a)
		return
	}
	d.home.Take(a, d.Answered, time.Now())
}
