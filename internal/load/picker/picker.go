// Package picker picks the VM for each request, as the platform's balancer
// does: at random among those that say they are ready.
package picker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/internal/load/plan"
	"umberladder/internal/policy/retry"
)

const (
	probeEvery = 200 * time.Millisecond
	probeTime  = time.Second
	seedStream = 11
)

// Picker knows which VMs are ready. It is safe for use by several goroutines.
type Picker struct {
	vms []plan.Endpoint

	mu    sync.Mutex
	rng   *rand.Rand
	ready []plan.Endpoint // the VMs that said so when last asked
}

// New makes a picker of the VMs, which are taken as ready at first.
func New(vms []plan.Endpoint, seed uint64) *Picker {
	return &Picker{vms: vms, ready: vms, rng: rand.New(rand.NewPCG(seed, seedStream))}
}

// Pick returns one of the ready VMs, or any if none is ready.
func (p *Picker) Pick() plan.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ready) == 0 {
		return p.vms[p.rng.IntN(len(p.vms))]
	}
	return p.ready[p.rng.IntN(len(p.ready))]
}

// Run asks every VM whether it is ready until ctx ends, as the platform's
// balancer does.
func (p *Picker) Run(ctx context.Context) error {
	probe := &http.Client{Timeout: probeTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		up := make([]bool, len(p.vms))
		var g errgroup.Group
		for i, vm := range p.vms {
			g.Go(func() error {
				up[i] = isReady(ctx, probe, vm)
				return nil
			})
		}
		_ = g.Wait()
		var ready []plan.Endpoint
		for i, vm := range p.vms {
			if up[i] {
				ready = append(ready, vm)
			}
		}
		p.mu.Lock()
		p.ready = ready
		p.mu.Unlock()
		retry.Pause(ctx, probeEvery)
	}
	return nil
}

func isReady(ctx context.Context, probe *http.Client, vm plan.Endpoint) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address.String()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := probe.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
