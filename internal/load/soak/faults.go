package soak

import (
	"context"
	"syscall"
	"time"

	"umberladder/platform/fake"
)

// restartPause is the time from a process's exit to its next start.
const restartPause = 300 * time.Millisecond

// faultKind is a kind of fault that the soak injects.
type faultKind struct {
	name   string
	inject func(ctx context.Context)
	onVMs  bool // it impairs VMs
}

// injectFaults injects random faults until ctx ends. Faults may overlap.
func (r *run) injectFaults(ctx context.Context) {
	kinds := []faultKind{
		{"vm-stop", r.stopVM, true},
		{"vm-kill", r.killVM, true},
		{"vm-pause", r.pauseVM, true},
		{"store-link", r.impairStoreLink, true},
		{"store-away", r.impairAllStoreLinks, true},
		{"server-link", r.impairServerLink, false},
		{"server-leave", r.retireServer, false},
		{"server-crash", r.crashServer, false},
		{"server-shed", r.shedServer, false},
		{"settings", func(context.Context) { r.mu.Lock(); defer r.mu.Unlock(); r.writeNextSettings() }, false},
		{"revoke", r.revokeKey, false},
	}
	if r.cfg.StoreRestores {
		kinds = append(kinds, faultKind{"store-back", r.restoreStore, true})
	}
	if r.cfg.Crashes {
		kinds = append(kinds, faultKind{"fatal-request", r.fatalRequest, false}, faultKind{"drain-announced", r.announceDrain, false}, faultKind{"server-busy", r.busyServer, false})
	}
	if r.cfg.Parts {
		kinds = append(kinds, faultKind{"fatal-part", r.fatalPart, false})
	}
	if r.cfg.Floods {
		kinds = append(kinds, faultKind{"flood", r.startFlood, true})
	}
	if r.cfg.Cuts {
		kinds = append(kinds, faultKind{"vm-cut-off", r.cutVMs, true}, faultKind{"servers-brittle", r.makeBrittle, false})
	}
	if r.cfg.Ends {
		kinds = append(kinds, faultKind{"close-delimited", r.useCloseDelimited, false}, faultKind{"stream-broken", r.breakStreams, false}, faultKind{"server-ended", r.endServer, false})
	}
	if r.cfg.Spoils {
		kinds = append(kinds, faultKind{"responses-spoilt", r.spoilResponses(fake.Spoils), false})
	}
	if r.cfg.Heads {
		kinds = append(kinds, faultKind{"heads-broken", r.spoilResponses(fake.BrokenHeads), false})
	}
	if r.cfg.Versions {
		kinds = append(kinds, faultKind{"roll", r.roll, false})
	}
	if r.cfg.Evacuations {
		kinds = append(kinds, faultKind{"evacuate", r.evacuate, false})
	}
	kinds = append(kinds, r.unevenFaults()...)
	for ctx.Err() == nil {
		kinds = r.leaveVMsAlone(ctx, kinds)
		k := kinds[r.rng.IntN(len(kinds))]
		r.mu.Lock()
		r.faults[k.name]++
		r.mu.Unlock()
		k.inject(ctx)
		r.sleep(ctx, time.Duration(r.rng.IntN(700))*time.Millisecond)
	}
}

func (r *run) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// undoLater undoes a fault after a random time, without blocking the faults that
// follow.
func (r *run) undoLater(ctx context.Context, undo func()) {
	d := time.Duration(200+r.rng.IntN(2500)) * time.Millisecond
	r.group.Go(func() error {
		r.sleep(ctx, d)
		undo()
		return nil
	})
}

// pickVM picks a random VM and marks it as stopping. It returns nil if the VM is
// already being stopped, paused or restarted.
func (r *run) pickVM() *vm {
	v := r.vms[r.rng.IntN(len(r.vms))]
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.stopping.IsZero() {
		return nil
	}
	v.stopping = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops[v.name] = append(r.stops[v.name], v.stopping)
	return v
}

// restartVM waits for a VM's process to exit and starts it again.
func (r *run) restartVM(ctx context.Context, v *vm) {
	markRecovered := r.markImpaired(v.name)
	r.group.Go(func() error {
		v.wait()
		r.sleep(ctx, restartPause)
		if ctx.Err() == nil {
			defer markRecovered()
			return v.start()
		}
		return nil
	})
}

func (r *run) stopVM(ctx context.Context) {
	if v := r.pickVM(); v != nil {
		v.signal(syscall.SIGTERM)
		r.restartVM(ctx, v)
	}
}

func (r *run) killVM(ctx context.Context) {
	if v := r.pickVM(); v != nil {
		v.signal(syscall.SIGKILL)
		r.restartVM(ctx, v)
	}
}

func (r *run) pauseVM(ctx context.Context) {
	v := r.pickVM()
	if v == nil {
		return
	}
	v.signal(syscall.SIGSTOP)
	markRecovered := r.markImpaired(v.name)
	r.undoLater(ctx, func() {
		v.signal(syscall.SIGCONT)
		markRecovered()
		v.mu.Lock()
		defer v.mu.Unlock()
		v.stopping = time.Time{}
	})
}

func (r *run) impairStoreLink(ctx context.Context) {
	n := r.rng.IntN(len(r.storeProxies))
	p := r.storeProxies[n]
	p.SetMode(Mode(1 + r.rng.IntN(int(numModes)-1)))
	markRecovered := r.markImpaired(r.vms[n].name)
	r.undoLater(ctx, func() {
		p.SetMode(Pass)
		markRecovered()
	})
}

func (r *run) impairAllStoreLinks(ctx context.Context) {
	m := Mode(1 + r.rng.IntN(int(numModes)-1))
	var markRecovered []func()
	for n, p := range r.storeProxies {
		p.SetMode(m)
		markRecovered = append(markRecovered, r.markImpaired(r.vms[n].name))
	}
	r.undoLater(ctx, func() {
		for n, p := range r.storeProxies {
			p.SetMode(Pass)
			markRecovered[n]()
		}
	})
}

// expiryTime is how long after its last heartbeat a server's entry expires.
const expiryTime = 3 * heartbeatInterval

// restoreStore restores the store from an older backup copy. Then operators and
// servers write their data again, and the entries of terminated servers expire.
func (r *run) restoreStore(ctx context.Context) {
	backupCopy := r.store.Backup()
	r.undoLater(ctx, func() {
		var markRecovered []func()
		for _, v := range r.vms {
			markRecovered = append(markRecovered, r.markImpaired(v.name))
		}
		r.store.Restore(backupCopy)
		r.sleep(ctx, heartbeatInterval)
		r.mu.Lock()
		r.writeSettings()
		r.writeEvacuation()
		r.mu.Unlock()
		r.sleep(ctx, expiryTime-heartbeatInterval)
		r.mu.Lock()
		for _, b := range r.backends {
			if b.dead {
				r.store.RemoveServer(b.server.ID)
			}
		}
		r.mu.Unlock()
		for _, f := range markRecovered {
			f()
		}
	})
}

// pickServer picks a random server. It returns nil if the server has retired or
// crashed.
func (r *run) pickServer() *backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[r.rng.IntN(len(r.backends))]
	if !b.retiredAt.IsZero() || b.dead {
		return nil
	}
	return b
}

func (r *run) impairServerLink(ctx context.Context) {
	b := r.pickServer()
	if b == nil {
		return
	}
	b.proxy.SetMode(Mode(1 + r.rng.IntN(int(numModes)-1)))
	r.undoLater(ctx, func() { b.proxy.SetMode(Pass) })
}

func (r *run) shedServer(context.Context) {
	if b := r.pickServer(); b != nil {
		b.server.RejectNext(1 + r.rng.IntN(5))
	}
}

// addReplacement starts another server of the same service and reports success.
func (r *run) addReplacement(ctx context.Context, b *backend) bool {
	return r.addServerOf(ctx, b.server.Service, b.server.Version()) == nil
}

// retireServer starts a replacement for a server and retires the server.
func (r *run) retireServer(ctx context.Context) {
	b := r.pickServer()
	if b == nil || !r.addReplacement(ctx, b) {
		return
	}
	r.retire(ctx, b)
}

// retire sets a server's entry to draining, and terminates it 4 s later.
func (r *run) retire(ctx context.Context, b *backend) {
	b.server.MarkDraining()
	r.markRetired(b)
	r.group.Go(func() error {
		r.sleep(ctx, 4*time.Second)
		b.server.Crash()
		r.removeServer(b)
		return nil
	})
}

// markRetired records when a server retired. drainBound applies from then on.
func (r *run) markRetired(b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.retiredAt.IsZero() {
		b.retiredAt = time.Now()
	}
}

// removeServer removes a server's entry permanently.
func (r *run) removeServer(b *backend) {
	r.mu.Lock()
	b.dead = true
	r.store.RemoveServer(b.server.ID)
	r.mu.Unlock()
	r.markRetired(b)
}

// crashServer ends a server's runs and connections; its entry is removed 1 s
// later, as if it had expired.
func (r *run) crashServer(ctx context.Context) {
	b := r.pickServer()
	if b == nil || !r.addReplacement(ctx, b) {
		return
	}
	b.server.Crash()
	b.proxy.SetMode(Reset)
	r.mu.Lock()
	b.dead = true
	r.mu.Unlock()
	r.group.Go(func() error {
		r.sleep(ctx, time.Second)
		r.removeServer(b)
		return nil
	})
}

// revokeKey revokes one key, unless it is the last valid one.
func (r *run) revokeKey(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.revoked) == numKeys-1 {
		return
	}
	r.revoked[[]string{"key-0", "key-1", "key-2"}[len(r.revoked)]] = time.Now()
	r.writeNextSettings()
}
