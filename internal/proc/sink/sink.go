package sink

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
	// Calls is the name of the logger whose routine lines go first under load.
	Calls = "calls"
	// queue is how many lines wait for the writer: 2 s of lines at the full rate.
	queue = 600
	// flushTime bounds the wait for the writer at the end.
	flushTime = 200 * time.Millisecond
	// tellEvery is how often the lines left out are told.
	tellEvery = 5 * time.Second
)

// Sink is the writer of one process's log.
type Sink struct {
	lines   chan []byte
	budget  *rate.Limiter
	burst   float64
	left    atomic.Uint64 // lines left out
	written atomic.Uint64
	told    uint64
	done    chan struct{}
	flush   chan struct{}
}

// New makes a sink that writes up to perSecond lines a second to w, for as long
// as the process runs.
func New(w io.Writer, perSecond int, group *errgroup.Group) *Sink {
	s := &Sink{
		lines:  make(chan []byte, queue),
		budget: rate.NewLimiter(rate.Limit(perSecond), perSecond),
		burst:  float64(perSecond),
		done:   make(chan struct{}),
		flush:  make(chan struct{}),
	}
	group.Go(func() error {
		s.run(w)
		return nil
	})
	return s
}

// run writes lines until Close, and then those that wait.
func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case b := <-s.lines:
			s.put(w, b)
		case <-s.flush:
			for {
				select {
				case b := <-s.lines:
					s.put(w, b)
				default:
					return
				}
			}
		}
	}
}

func (s *Sink) put(w io.Writer, b []byte) {
	if _, err := w.Write(b); err != nil {
		// There is nowhere to write this to; the count tells it.
		s.left.Add(1)
		return
	}
	s.written.Add(1)
}

// Write implements io.Writer. It never blocks.
func (s *Sink) Write(b []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), b...):
	default:
		s.left.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Close writes the lines that wait, for a short time at most.
func (s *Sink) Close() {
	close(s.flush)
	select {
	case <-s.done:
	case <-time.After(flushTime):
	}
}

// Counts returns the lines written and left out.
func (s *Sink) Counts() (written, left uint64) { return s.written.Load(), s.left.Load() }

// allow takes one line from the budget.
func (s *Sink) allow(e zapcore.Entry) bool {
	if e.LoggerName == Calls && e.Level <= zapcore.InfoLevel && s.budget.Tokens() < s.burst/2 {
		return false
	}
	return s.budget.Allow()
}

// Tell logs the lines left out until stop is closed.
func (s *Sink) Tell(log *zap.Logger, stop <-chan struct{}) {
	t := time.NewTicker(tellEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if n := s.left.Load(); n != s.told {
				log.Warn("lines left out", zap.Uint64("count", n-s.told))
				s.told = n
			}
		}
	}
}

// Logger returns a logger over the sink.
func (s *Sink) Logger(level zapcore.Level) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	c := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, level)
	return zap.New(&core{Core: c, sink: s})
}

// core declines lines over the budget.
type core struct {
	zapcore.Core
	sink *Sink
}

// With implements zapcore.Core.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{Core: c.Core.With(fields), sink: c.sink}
}

// Check implements zapcore.Core.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	if !c.sink.allow(e) {
		c.sink.left.Add(1)
		return ce
	}
	return ce.AddCore(e, c)
}
