package logger

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

// TestBlockedReader checks that logging does not block when nobody reads the output.
func TestBlockedReader(t *testing.T) {
	pr, pw, err := os.Pipe()
	assert.NilError(t, err)
	var g errgroup.Group
	w := New(pw, 100_000, &g)
	log := w.Logger(zapcore.InfoLevel)
	start := time.Now()
	for range 5000 {
		log.Warn("line", zap.String("filler", strings.Repeat("x", 200)))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	_, dropped := w.Counts()
	assert.Assert(t, dropped > 1000, "%d lines dropped", dropped)
	w.Close()
	assert.NilError(t, pr.Close())
	assert.NilError(t, pw.Close())
	_ = g.Wait()
}

// TestBudget logs far more lines than the budget allows, and checks that routine lines
// of calls are dropped first and that each line is either written or counted.
func TestBudget(t *testing.T) {
	var g errgroup.Group
	var out bytes.Buffer
	w := New(&out, 100, &g)
	log := w.Logger(zapcore.InfoLevel)
	calls := log.Named(CallsLogger)
	for range 1000 {
		calls.Info("routine")
	}
	for range 40 {
		calls.Warn("failed")
		log.Info("state")
	}
	w.Close()
	_ = g.Wait()
	count := func(text string) int { return strings.Count(out.String(), text) }
	assert.Assert(t, count("routine") <= 52, "%d", count("routine"))
	assert.Assert(t, count("failed")+count("state") >= 48, "%d", count("failed")+count("state"))
	written, dropped := w.Counts()
	assert.Equal(t, written+dropped, uint64(1080), "each line is written or counted")
}

func TestReportDropped(t *testing.T) {
	var g errgroup.Group
	w := New(io.Discard, 1, &g)
	log := w.Logger(zapcore.InfoLevel)
	for range 10 {
		log.Info("x")
	}
	stop := make(chan struct{})
	close(stop)
	w.ReportDropped(log, stop)
	_, dropped := w.Counts()
	assert.Equal(t, dropped, uint64(9))
	w.Close()
	_ = g.Wait()
}

func BenchmarkLog(b *testing.B) {
	var g errgroup.Group
	w := New(io.Discard, 1<<30, &g)
	log := w.Logger(zapcore.InfoLevel).Named(CallsLogger)
	for b.Loop() {
		log.Info("call ended", zap.String("request", "9c41d07be2a35f68"), zap.Duration("total", time.Second), zap.Int("status", 200))
	}
	w.Close()
	_ = g.Wait()
}
