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

const switchTime = 3 * time.Second

// World is the fleet that faults strike.
type World struct {
	Fleet *plan.Fleet
	Rand  *rand.Rand
	http  http.Client
	late  *atomic.Int64
}

// New makes the world of a fleet; what strikes whom follows from rng.
func New(f *plan.Fleet, rng *rand.Rand) *World {
	return &World{Fleet: f, Rand: rng, http: http.Client{Timeout: switchTime}, late: &atomic.Int64{}}
}

// Fork returns the same world with another source of random numbers.
func (w *World) Fork() *World {
	one := *w
	one.Rand = rand.New(rand.NewPCG(w.Rand.Uint64(), 0))
	return &one
}

// Late returns how much new work was offered to engines more than three seconds
// after they began to leave.
func (w *World) Late() int { return int(w.late.Load()) }

// signal sends a signal to a process of the fleet.
func (w *World) signal(name string, s syscall.Signal) error {
	data, err := os.ReadFile(filepath.Join(w.Fleet.Dir, plan.PIDDir, name))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil || pid <= 1 {
		return trace.BadParameter("the process id of %s is %q", name, data)
	}
	return trace.ConvertSystemError(syscall.Kill(pid, s))
}

// post switches a stand-in's faults.
func (w *World) post(addr netip.AddrPort, path, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), switchTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("%s answers %d", addr, resp.StatusCode)
	}
	return nil
}

// Drain stops a VM gracefully.
func (w *World) Drain(vm plan.Endpoint) error { return w.signal(vm.Name, syscall.SIGTERM) }

func (w *World) engine() plan.Endpoint {
	return w.Fleet.Engines[w.Rand.IntN(len(w.Fleet.Engines))]
}

func (w *World) plain() plan.Endpoint {
	return w.Fleet.Plain[w.Rand.IntN(len(w.Fleet.Plain))]
}

func (w *World) vm() plan.Endpoint { return w.Fleet.VMs[w.Rand.IntN(len(w.Fleet.VMs))] }

func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.Rand.Int64N(int64(high-low)))
}

func (w *World) engineFault(n plan.Endpoint, format string, args ...any) error {
	return w.post(n.Address, "/v1/faults", fmt.Sprintf(format, args...))
}

func (w *World) plainFault(n plan.Endpoint, format string, args ...any) error {
	return w.post(n.Address, "/stand-in/faults", fmt.Sprintf(format, args...))
}

func (w *World) storeFault(format string, args ...any) error {
	return w.post(w.Fleet.Store, "/faults", fmt.Sprintf(format, args...))
}
