package logger

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

const (
	// CallsLogger is the name of the logger whose routine lines are dropped first
	// under load.
	CallsLogger = "calls"
	// queueLen is the capacity of the queue in lines: 2 s at the default rate.
	queueLen = 600
	// flushTimeout bounds how long Close waits for queued lines to be written.
	flushTimeout = 200 * time.Millisecond
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = 5 * time.Second
)

// Writer writes the log of a process. It implements zapcore.WriteSyncer.
type Writer struct {
	lines           chan []byte
	budget          *rate.Limiter
	burst           float64
	dropped         atomic.Uint64
	written         atomic.Uint64
	reportedDropped uint64
	done            chan struct{}
	flush           chan struct{}
}

// New returns a Writer that writes at most perSecond lines per second to out until
// Close is called. Its goroutine runs in group.
func New(out io.Writer, perSecond int, group *errgroup.Group) *Writer {
	w := &Writer{
		lines:  make(chan []byte, queueLen),
		budget: rate.NewLimiter(rate.Limit(perSecond), perSecond),
		burst:  float64(perSecond),
		done:   make(chan struct{}),
		flush:  make(chan struct{}),
	}
	group.Go(func() error {
		w.run(out)
		return nil
	})
	return w
}

// run writes lines until Close is called, and then the lines still queued.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case b := <-w.lines:
			w.writeLine(out, b)
		case <-w.flush:
			for {
				select {
				case b := <-w.lines:
					w.writeLine(out, b)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) writeLine(out io.Writer, b []byte) {
	if _, err := out.Write(b); err != nil {
		// The error cannot be logged, so the line is only counted as dropped.
		w.dropped.Add(1)
		return
	}
	w.written.Add(1)
}

// Write implements io.Writer. It never blocks: if the queue is full, the line is
// dropped.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Close writes the queued lines, for at most flushTimeout.
func (w *Writer) Close() {
	close(w.flush)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// Counts returns the numbers of lines written and dropped.
func (w *Writer) Counts() (written, dropped uint64) { return w.written.Load(), w.dropped.Load() }

// takeBudget takes one line from the rate budget and reports whether it may be
// logged.
func (w *Writer) takeBudget(e zapcore.Entry) bool {
	if e.LoggerName == CallsLogger && e.Level <= zapcore.InfoLevel && w.budget.Tokens() < w.burst/2 {
		return false
	}
	return w.budget.Allow()
}

// ReportDropped logs the number of dropped lines periodically until stop is closed.
func (w *Writer) ReportDropped(log *zap.Logger, stop <-chan struct{}) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if n := w.dropped.Load(); n != w.reportedDropped {
				log.Warn("lines left out", zap.Uint64("count", n-w.reportedDropped))
				w.reportedDropped = n
			}
		}
	}
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger(level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	c := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level)
	return zap.New(&core{Core: c, writer: w})
}

// core is a zapcore.Core that drops lines over the rate budget.
type core struct {
	zapcore.Core
	writer *Writer
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{Core: c.Core.With(fields), writer: c.writer}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	if !c.writer.takeBudget(e) {
		c.writer.dropped.Add(1)
		return ce
	}
	return ce.AddCore(e, c)
}
