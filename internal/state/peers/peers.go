package peers

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
)

const (
	// leaseTTL is how long a VM's name outlives it.
	leaseTTL = 10 * time.Second
	// renewEvery leaves two renewals to fail before the lease ends.
	renewEvery = 3 * time.Second
	// touchTime is how long after an answer a VM counts as reaching the store: a
	// renewal and one more try.
	touchTime = renewEvery + retryName + 300*time.Millisecond
	// listEvery is how often the names are read, once they are settled; a VM that
	// speaks is known at once. At the start they are read each firstList.
	listEvery = 5 * time.Second
	firstList = 300 * time.Millisecond
	quickList = 6
	// retryName is the pause after a failed call. The lease outlives several.
	retryName = 1200 * time.Millisecond
	// callTime bounds one call to the store.
	callTime = time.Second
)

// ErrLapsed says that a lease has ended.
var ErrLapsed = errors.New("peers: the lease has ended")

// Lease identifies a lease in the store.
type Lease uint64

// Registry is where the VMs' names are kept.
type Registry interface {
	// Announce writes this VM's name and address under a new lease.
	Announce(ctx context.Context, vm ident.VM, addr netip.AddrPort, ttl time.Duration) (Lease, error)
	// Renew prolongs a lease; ErrLapsed says that it has ended.
	Renew(ctx context.Context, l Lease) error
	// VMs returns the VMs' addresses; they may be seconds old.
	VMs(ctx context.Context) (map[ident.VM]netip.AddrPort, error)
}

// Peers knows the other VMs.
type Peers struct {
	vm     ident.VM
	addr   netip.AddrPort
	reg    Registry
	log    *zap.Logger
	others atomic.Pointer[[]netip.AddrPort]
	kept   atomic.Int64 // when the store last took or renewed the name, in Unix nanoseconds
}

// New makes a list of peers that holds nobody yet.
func New(vm ident.VM, addr netip.AddrPort, reg Registry, log *zap.Logger) *Peers {
	p := &Peers{vm: vm, addr: addr, reg: reg, log: log}
	p.others.Store(&[]netip.AddrPort{})
	return p
}

// Others returns the other VMs' addresses.
func (p *Peers) Others() []netip.AddrPort { return *p.others.Load() }

// Meet notes the address of a VM that was heard: it may not have been listed yet.
func (p *Peers) Meet(addr netip.AddrPort) {
	old := p.others.Load()
	if addr == p.addr || slices.Contains(*old, addr) {
		return
	}
	more := append(slices.Clone(*old), addr)
	// A list that was read meanwhile stands; the VM is heard again.
	p.others.CompareAndSwap(old, &more)
}

// Touch reports whether the store itself has answered this VM lately.
func (p *Peers) Touch(now time.Time) bool { return now.Sub(time.Unix(0, p.kept.Load())) < touchTime }

// Announce keeps this VM's name in the store until ctx ends.
func (p *Peers) Announce(ctx context.Context) {
	var lease Lease
	for ctx.Err() == nil {
		err := p.keep(ctx, &lease)
		if err != nil {
			p.log.Info("name not kept in the store", zap.Error(err))
			retry.Pause(ctx, retryName)
			continue
		}
		p.kept.Store(time.Now().UnixNano())
		retry.Pause(ctx, renewEvery)
	}
}

func (p *Peers) keep(ctx context.Context, lease *Lease) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if *lease != 0 {
		err := p.reg.Renew(ctx, *lease)
		if errors.Is(err, ErrLapsed) {
			*lease = 0
		}
		return err
	}
	l, err := p.reg.Announce(ctx, p.vm, p.addr, leaseTTL)
	if err == nil {
		*lease = l
	}
	return err
}

// Follow reads the VMs' names until ctx ends.
func (p *Peers) Follow(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		p.read(ctx)
		wait := listEvery
		if n < quickList {
			wait = firstList
		}
		retry.Pause(ctx, wait)
	}
}

func (p *Peers) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	all, err := p.reg.VMs(ctx)
	if err != nil {
		p.log.Debug("names of VMs not read", zap.Error(err))
		return
	}
	others := make([]netip.AddrPort, 0, len(all))
	for vm, addr := range all {
		if vm != p.vm {
			others = append(others, addr)
		}
	}
	if len(others) != len(p.Others()) {
		p.log.Info("VMs known", zap.Int("others", len(others)))
	}
	p.others.Store(&others)
}
