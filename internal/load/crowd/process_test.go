package crowd_test

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// memoryBound is the memory of the smallest VMs, in bytes.
const memoryBound = 134_000_000

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program without the race detector, which would change its memory.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "umberladder")
	build := exec.Command("go", "build", "-o", program, "umberladder/cmd/umberladder") //nolint:gosec // our own program
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// process is a VM that runs as a process.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	log     string       // path of its output
	clients []netip.Addr // whose sockets count
	ended   atomic.Bool
	stop    context.CancelFunc
	group   errgroup.Group

	mu    sync.Mutex
	peaks peaks
}

// peaks are the highest values that were sampled.
type peaks struct {
	memory      int // resident bytes, and bytes in the socket buffers of the VM's address
	resident    int // of these, resident
	received    int // received and not read
	sent        int // sent and not confirmed
	descriptors int
}

// startProcess starts the program with the arguments and samples what it holds. The VM listens
// on addr.
func startProcess(t *testing.T, addr netip.Addr, args ...string) *process {
	t.Helper()
	p := &process{t: t, log: filepath.Join(t.TempDir(), "log"), clients: []netip.Addr{addr}}
	out, err := os.Create(p.log)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, out.Close()) }()
	p.cmd = exec.Command(program, args...) //nolint:gosec // our own program
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(t, p.cmd.Start())
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.group.Go(func() error {
		_ = p.cmd.Wait()
		p.ended.Store(true)
		return nil
	})
	p.group.Go(func() error {
		for ctx.Err() == nil && !p.ended.Load() {
			p.sample()
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	})
	t.Cleanup(func() {
		cancel()
		_ = p.cmd.Process.Kill()
		_ = p.group.Wait()
		if t.Failed() {
			t.Logf("end of the log:\n%s", p.tail())
		}
	})
	return p
}

// tail returns the last lines of the process's output.
func (p *process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(len(lines)-8, 0):], "\n")
}

// limitDescriptors limits the descriptors of the running process.
func (p *process) limitDescriptors(n int) {
	p.t.Helper()
	limit := unix.Rlimit{Cur: uint64(n), Max: uint64(n)}
	assert.NilError(p.t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
}

func (p *process) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// sample reads what the process holds now.
func (p *process) sample() {
	resident := p.status("VmRSS:")
	list, _ := os.ReadDir(p.path("fd")) // empty if the process has ended
	received, sent := 0, 0
	for _, a := range p.clients {
		r, s := queuedBytes(a)
		received, sent = received+r, sent+s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peaks.resident = max(p.peaks.resident, resident, p.status("VmHWM:"))
	p.peaks.received, p.peaks.sent = max(p.peaks.received, received), max(p.peaks.sent, sent)
	p.peaks.memory = max(p.peaks.memory, resident+received+sent, p.peaks.resident)
	p.peaks.descriptors = max(p.peaks.descriptors, len(list))
}

// status returns a number of bytes of the process's status; 0 if the process has ended.
func (p *process) status(field string) int {
	data, err := os.ReadFile(p.path("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0]) // the kernel writes a number
			return n << 10
		}
	}
	return 0
}

// States in /proc/net/tcp of sockets that hold no data: the queue of a listener counts connections,
// and that of a connection that is being opened may be an arbitrary number for a moment.
const (
	opening   = "02"
	listening = "0A"
)

// queuedBytes returns how many bytes the kernel holds for the sockets of an address: those
// received and not read, and those sent and not confirmed.
func queuedBytes(addr netip.Addr) (received, sent int) {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, 0
	}
	defer func() { _ = f.Close() }()
	b := addr.As4()
	local := strings.ToUpper(hex.EncodeToString([]byte{b[3], b[2], b[1], b[0]})) + ":"
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening || fields[3] == opening {
			continue
		}
		out, in, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(out, 16, 64) // the kernel writes numbers
		sent += int(n)
		n, _ = strconv.ParseInt(in, 16, 64)
		received += int(n)
	}
	return received, sent
}

// check fails the test if the process has ended or has held more than allowed.
func (p *process) check(descriptors int) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("peaks: %.1f MB of %.1f (%.1f resident, %.1f received, %.1f sent), %d descriptors of %d", float64(p.peaks.memory)/1e6, memoryBound/1e6,
		float64(p.peaks.resident)/1e6, float64(p.peaks.received)/1e6, float64(p.peaks.sent)/1e6, p.peaks.descriptors, descriptors)
	assert.Check(p.t, !p.ended.Load(), "the process has ended")
	assert.Check(p.t, p.peaks.memory <= memoryBound, "%d bytes", p.peaks.memory)
	assert.Check(p.t, p.peaks.descriptors < descriptors, "%d descriptors", p.peaks.descriptors)
}
