// Package picker picks the VM for each request as the platform's load balancer
// does: at random among those that report ready.
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
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
	rngStream     = 11
)

// Picker tracks which VMs are ready. It is safe for concurrent use.
type Picker struct {
	vms []plan.Endpoint

	mu    sync.Mutex
	rng   *rand.Rand
	ready []plan.Endpoint // VMs that reported ready at the last probe
}

// New returns a picker that treats every VM as ready until its first probe.
func New(vms []plan.Endpoint, seed uint64) *Picker {
	return &Picker{vms: vms, ready: vms, rng: rand.New(rand.NewPCG(seed, rngStream))}
}

// Pick returns a random ready VM, or any VM if none is ready.
func (p *Picker) Pick() plan.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.ready) == 0 {
		return p.vms[p.rng.IntN(len(p.vms))]
	}
	return p.ready[p.rng.IntN(len(p.ready))]
}

// Run probes the readiness of every VM periodically until ctx ends.
func (p *Picker) Run(ctx context.Context) error {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		readyNow := make([]bool, len(p.vms))
		var g errgroup.Group
		for i, vm := range p.vms {
			g.Go(func() error {
				readyNow[i] = isReady(ctx, client, vm)
				return nil
			})
		}
		_ = g.Wait()
		var ready []plan.Endpoint
		for i, vm := range p.vms {
			if readyNow[i] {
				ready = append(ready, vm)
			}
		}
		p.mu.Lock()
		p.ready = ready
		p.mu.Unlock()
		retry.Sleep(ctx, probeInterval)
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, vm plan.Endpoint) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Address.String()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
