package fault

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/load/plan"
)

const requestTimeout = 3 * time.Second

// Injector injects faults into a fleet.
type Injector struct {
	Fleet        *plan.Fleet
	Rand         *rand.Rand
	http         http.Client
	lateRequests *atomic.Int64
}

// New returns an injector for a fleet that draws the targets and parameters of
// faults from rng.
func New(f *plan.Fleet, rng *rand.Rand) *Injector {
	return &Injector{Fleet: f, Rand: rng, http: http.Client{Timeout: requestTimeout}, lateRequests: &atomic.Int64{}}
}

// Fork returns an injector for the same fleet with its own source of random
// numbers, for use by another goroutine.
func (inj *Injector) Fork() *Injector {
	forked := *inj
	forked.Rand = rand.New(rand.NewPCG(inj.Rand.Uint64(), 0))
	return &forked
}

// LateRequests returns the number of new generations that were offered to engines
// more than three seconds after these had announced their drain. It counts only
// engines that reclaimEngine killed.
func (inj *Injector) LateRequests() int { return int(inj.lateRequests.Load()) }

// signal sends a signal to the named process of the fleet.
func (inj *Injector) signal(name string, s syscall.Signal) error {
	data, err := os.ReadFile(filepath.Join(inj.Fleet.Dir, plan.PIDDir, name))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil || pid <= 1 {
		return trace.BadParameter("invalid process ID of %s: %q", name, data)
	}
	return trace.ConvertSystemError(syscall.Kill(pid, s))
}

// setFaults sets the faults of a fake server.
func (inj *Injector) setFaults(addr netip.AddrPort, path, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := inj.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s responded with status %d", addr, resp.StatusCode)
	}
	return nil
}

// Drain has a VM drain and shut down, by SIGTERM.
func (inj *Injector) Drain(vm plan.Endpoint) error { return inj.signal(vm.Name, syscall.SIGTERM) }

func (inj *Injector) randomEngine() plan.Endpoint {
	return inj.Fleet.Engines[inj.Rand.IntN(len(inj.Fleet.Engines))]
}

func (inj *Injector) randomPlain() plan.Endpoint {
	return inj.Fleet.PlainServers[inj.Rand.IntN(len(inj.Fleet.PlainServers))]
}

func (inj *Injector) randomVM() plan.Endpoint {
	return inj.Fleet.VMs[inj.Rand.IntN(len(inj.Fleet.VMs))]
}

func (inj *Injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(inj.Rand.Int64N(int64(high-low)))
}

func (inj *Injector) setEngineFault(n plan.Endpoint, format string, args ...any) error {
	return inj.setFaults(n.Address, "/v1/faults", fmt.Sprintf(format, args...))
}

func (inj *Injector) setPlainFault(n plan.Endpoint, format string, args ...any) error {
	return inj.setFaults(n.Address, "/stand-in/faults", fmt.Sprintf(format, args...))
}

func (inj *Injector) setStoreFault(format string, args ...any) error {
	return inj.setFaults(inj.Fleet.Store, "/faults", fmt.Sprintf(format, args...))
}
