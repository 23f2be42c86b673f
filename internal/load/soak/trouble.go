package soak

import (
	"context"
	"syscall"
	"time"
)

// restartPause is between a process's end and its next start.
const restartPause = 300 * time.Millisecond

// failure is a kind of failure that the soak starts.
type failure struct {
	name string
	do   func(ctx context.Context)
}

// trouble starts failures until ctx ends; several are under way at a time.
func (r *run) trouble(ctx context.Context) {
	kinds := []failure{
		{"vm-stop", r.stopVM},
		{"vm-kill", r.killVM},
		{"vm-pause", r.pauseVM},
		{"store-link", r.storeLink},
		{"store-away", r.storeAway},
		{"server-link", r.serverLink},
		{"server-leave", r.leaveServer},
		{"server-crash", r.crashServer},
		{"server-shed", r.shedServer},
		{"settings", func(context.Context) { r.mu.Lock(); defer r.mu.Unlock(); r.configure() }},
		{"revoke", r.revoke},
	}
	if r.cfg.Drills {
		kinds = append(kinds, failure{"store-back", r.storeBack})
	}
	if r.cfg.Crashes {
		kinds = append(kinds, failure{"fatal-request", r.fatalRequest}, failure{"drain-announced", r.announceDrain}, failure{"server-busy", r.busyServer})
	}
	for ctx.Err() == nil {
		k := kinds[r.rng.IntN(len(kinds))]
		r.mu.Lock()
		r.faults[k.name]++
		r.mu.Unlock()
		k.do(ctx)
		r.sleep(ctx, time.Duration(r.rng.IntN(700))*time.Millisecond)
	}
}

func (r *run) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// later undoes a failure after a drawn time, beside those that follow.
func (r *run) later(ctx context.Context, undo func()) {
	d := time.Duration(200+r.rng.IntN(2500)) * time.Millisecond
	r.group.Go(func() error {
		r.sleep(ctx, d)
		undo()
		return nil
	})
}

// calm returns a VM that is not being stopped or restarted already.
func (r *run) calm() *vm {
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

// again waits for a VM's end and starts it anew.
func (r *run) again(ctx context.Context, v *vm) {
	whole := r.harm(v.name)
	r.group.Go(func() error {
		v.wait()
		r.sleep(ctx, restartPause)
		if ctx.Err() == nil {
			defer whole()
			return v.start()
		}
		return nil
	})
}

func (r *run) stopVM(ctx context.Context) {
	if v := r.calm(); v != nil {
		v.signal(syscall.SIGTERM)
		r.again(ctx, v)
	}
}

func (r *run) killVM(ctx context.Context) {
	if v := r.calm(); v != nil {
		v.signal(syscall.SIGKILL)
		r.again(ctx, v)
	}
}

func (r *run) pauseVM(ctx context.Context) {
	v := r.calm()
	if v == nil {
		return
	}
	v.signal(syscall.SIGSTOP)
	whole := r.harm(v.name)
	r.later(ctx, func() {
		v.signal(syscall.SIGCONT)
		whole()
		v.mu.Lock()
		defer v.mu.Unlock()
		v.stopping = time.Time{}
	})
}

func (r *run) storeLink(ctx context.Context) {
	n := r.rng.IntN(len(r.ways))
	w := r.ways[n]
	w.Set(Mode(1 + r.rng.IntN(int(modes)-1)))
	whole := r.harm(r.vms[n].name)
	r.later(ctx, func() {
		w.Set(Pass)
		whole()
	})
}

func (r *run) storeAway(ctx context.Context) {
	m := Mode(1 + r.rng.IntN(int(modes)-1))
	var whole []func()
	for n, w := range r.ways {
		w.Set(m)
		whole = append(whole, r.harm(r.vms[n].name))
	}
	r.later(ctx, func() {
		for n, w := range r.ways {
			w.Set(Pass)
			whole[n]()
		}
	})
}

// lapseTime is after how much silence the store drops a server's entry.
const lapseTime = 3 * heartbeat

// storeBack has the store come back from a copy that is some time old. Operators and
// servers write what they had written again; entries of servers that have ended lapse.
func (r *run) storeBack(ctx context.Context) {
	copied := r.store.Copy()
	r.later(ctx, func() {
		var whole []func()
		for _, v := range r.vms {
			whole = append(whole, r.harm(v.name))
		}
		r.store.Restore(copied)
		r.sleep(ctx, heartbeat)
		r.mu.Lock()
		r.write()
		r.mu.Unlock()
		r.sleep(ctx, lapseTime-heartbeat)
		r.mu.Lock()
		for _, b := range r.backends {
			if b.dead {
				r.store.RemoveServer(b.server.ID)
			}
		}
		r.mu.Unlock()
		for _, f := range whole {
			f()
		}
	})
}

// pick returns a server that has not left.
func (r *run) pick() *backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backends[r.rng.IntN(len(r.backends))]
	if !b.left.IsZero() || b.dead {
		return nil
	}
	return b
}

func (r *run) serverLink(ctx context.Context) {
	b := r.pick()
	if b == nil {
		return
	}
	b.proxy.Set(Mode(1 + r.rng.IntN(int(modes)-1)))
	r.later(ctx, func() { b.proxy.Set(Pass) })
}

func (r *run) shedServer(context.Context) {
	if b := r.pick(); b != nil {
		b.server.Shed(1 + r.rng.IntN(5))
	}
}

// replace starts a server of the same service.
func (r *run) replace(ctx context.Context, b *backend) bool {
	return r.addServer(ctx, b.server.Service) == nil
}

// leaveServer has a server leave, with or without a word, after another came.
func (r *run) leaveServer(ctx context.Context) {
	b := r.pick()
	if b == nil || !r.replace(ctx, b) {
		return
	}
	b.server.Leave()
	r.gone(b)
	r.group.Go(func() error {
		r.sleep(ctx, 4*time.Second)
		b.server.Crash()
		r.end(b)
		return nil
	})
}

// gone notes that a server has left. The bound on what it may get holds from
// then on.
func (r *run) gone(b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.left.IsZero() {
		b.left = time.Now()
	}
}

// end removes a server's entry, for good.
func (r *run) end(b *backend) {
	r.mu.Lock()
	b.dead = true
	r.store.RemoveServer(b.server.ID)
	r.mu.Unlock()
	r.gone(b)
}

// crashServer ends a server's runs and connections; its entry lapses later.
func (r *run) crashServer(ctx context.Context) {
	b := r.pick()
	if b == nil || !r.replace(ctx, b) {
		return
	}
	b.server.Crash()
	b.proxy.Set(Reset)
	r.mu.Lock()
	b.dead = true
	r.mu.Unlock()
	r.group.Go(func() error {
		r.sleep(ctx, time.Second)
		r.end(b)
		return nil
	})
}

// revoke takes a key away; one is left.
func (r *run) revoke(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.revoked) == keys-1 {
		return
	}
	r.revoked[[]string{"key-0", "key-1", "key-2"}[len(r.revoked)]] = time.Now()
	r.configure()
}
