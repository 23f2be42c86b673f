package sink

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestBlockedReader logs into a pipe that nobody reads: no line waits.
func TestBlockedReader(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	var g errgroup.Group
	s := New(w, 100_000, &g)
	log := s.Logger(zapcore.InfoLevel)
	start := time.Now()
	for range 5000 {
		log.Warn("line", zap.String("filler", strings.Repeat("x", 200)))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	_, left := s.Counts()
	assert.Assert(t, left > 1000, "%d lines left out", left)
	s.Close()
	assert.NilError(t, r.Close())
	assert.NilError(t, w.Close())
	_ = g.Wait()
}

// TestBudget logs far over the budget: routine lines of calls go first.
func TestBudget(t *testing.T) {
	var g errgroup.Group
	var out bytes.Buffer
	s := New(&out, 100, &g)
	log := s.Logger(zapcore.InfoLevel)
	calls := log.Named(Calls)
	for range 1000 {
		calls.Info("routine")
	}
	for range 40 {
		calls.Warn("failed")
		log.Info("belief")
	}
	s.Close()
	_ = g.Wait()
	count := func(what string) int { return strings.Count(out.String(), what) }
	assert.Assert(t, count("routine") <= 52, "%d", count("routine"))
	assert.Assert(t, count("failed")+count("belief") >= 48, "%d", count("failed")+count("belief"))
	written, left := s.Counts()
	assert.Equal(t, written+left, uint64(1080), "each line is written or counted")
}

func TestTell(t *testing.T) {
	var g errgroup.Group
	s := New(io.Discard, 1, &g)
	log := s.Logger(zapcore.InfoLevel)
	for range 10 {
		log.Info("x")
	}
	stop := make(chan struct{})
	close(stop)
	s.Tell(log, stop)
	_, left := s.Counts()
	assert.Equal(t, left, uint64(9))
	s.Close()
	_ = g.Wait()
}

func BenchmarkLog(b *testing.B) {
	var g errgroup.Group
	s := New(io.Discard, 1<<30, &g)
	log := s.Logger(zapcore.InfoLevel).Named(Calls)
	for b.Loop() {
		log.Info("call ended", zap.String("request", "9c41d07be2a35f68"), zap.Duration("total", time.Second), zap.Int("status", 200))
	}
	s.Close()
	_ = g.Wait()
}
