// Package gauge measures what processes of a running fleet use: processor time
// and memory from the system, messages and store calls from the VMs' metrics.
package gauge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/load/plan"
)

// ticks is the kernel's unit of processor time for processes (USER_HZ).
const ticks = 100

// Processor returns the processor time that a process of the fleet has used.
func Processor(f *plan.Fleet, name string) (time.Duration, error) {
	pid, err := os.ReadFile(filepath.Join(f.Dir, plan.PIDDir, name))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	data, err := os.ReadFile(filepath.Join("/proc", strings.TrimSpace(string(pid)), "stat"))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	// After the name in parentheses come the state and then numbers; utime and
	// stime are fields 14 and 15 of all (proc(5)).
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 13 {
		return 0, trace.BadParameter("the statistics of %s can't be read", name)
	}
	sum := 0.0
	for _, s := range fields[11:13] {
		n, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		sum += n
	}
	return time.Duration(sum / ticks * float64(time.Second)), nil
}

// Late returns how much new work was offered to an engine that had been leaving
// for more than three seconds.
func Late(ctx context.Context, e plan.Endpoint) (int, error) {
	var c struct{ Late int }
	err := fetch(ctx, fmt.Sprintf("http://%s/v1/counts", e.Address), &c)
	return c.Late, err
}

// Metrics are a VM's metrics, each added up over its labels.
type Metrics map[string]float64

// Scrape reads a VM's metrics.
func Scrape(ctx context.Context, vm plan.Endpoint) (Metrics, error) {
	body, err := open(ctx, fmt.Sprintf("http://%s/metrics", vm.Address))
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	m := Metrics{}
	s := bufio.NewScanner(body)
	for s.Scan() {
		at := strings.LastIndexByte(s.Text(), ' ')
		if at < 0 || strings.HasPrefix(s.Text(), "#") {
			continue
		}
		name, _, _ := strings.Cut(s.Text()[:at], "{")
		if x, err := strconv.ParseFloat(s.Text()[at+1:], 64); err == nil {
			m[name] += x
		}
	}
	return m, trace.Wrap(s.Err())
}
