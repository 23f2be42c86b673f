// Package stats measures the resource use of the processes of a running fleet:
// CPU time from the operating system, the VMs' metrics, and the counters of the
// fake store and engines.
package stats

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

// ticksPerSecond is the kernel's unit of CPU time for processes (USER_HZ).
const ticksPerSecond = 100

// CPUTime returns the CPU time that a process of the fleet has used.
func CPUTime(f *plan.Fleet, name string) (time.Duration, error) {
	pid, err := os.ReadFile(filepath.Join(f.Dir, plan.PIDDir, name))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	data, err := os.ReadFile(filepath.Join("/proc", strings.TrimSpace(string(pid)), "stat"))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	// The process name, in parentheses, is followed by the state and then by
	// numbers; utime and stime are fields 14 and 15 of the line (proc(5)).
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 13 {
		return 0, trace.BadParameter("/proc/<pid>/stat of %s has too few fields", name)
	}
	sum := 0.0
	for _, field := range fields[11:13] {
		n, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		sum += n
	}
	return time.Duration(sum / ticksPerSecond * float64(time.Second)), nil
}

// LateRequests returns the number of new generations that were offered to an
// engine more than three seconds after it had begun to drain.
func LateRequests(ctx context.Context, engine plan.Endpoint) (int, error) {
	var counts struct{ Late int }
	err := getJSON(ctx, fmt.Sprintf("http://%s/v1/counts", engine.Address), &counts)
	return counts.Late, err
}

// Metrics holds the metrics of a VM by name, each summed over its labels.
type Metrics map[string]float64

// Scrape reads a VM's metrics.
func Scrape(ctx context.Context, vm plan.Endpoint) (Metrics, error) {
	body, err := getBody(ctx, fmt.Sprintf("http://%s/metrics", vm.Address))
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	m := Metrics{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		sep := strings.LastIndexByte(scanner.Text(), ' ')
		if sep < 0 || strings.HasPrefix(scanner.Text(), "#") {
			continue
		}
		name, _, _ := strings.Cut(scanner.Text()[:sep], "{")
		if value, err := strconv.ParseFloat(scanner.Text()[sep+1:], 64); err == nil {
			m[name] += value
		}
	}
	return m, trace.Wrap(scanner.Err())
}
