package expect

import (
	"sync"
	"time"
)

// Longest keeps the longest recent duration of each key. It is safe for concurrent use. Its zero
// value is not ready for use.
type Longest[K comparable] struct {
	window time.Duration

	mu       sync.Mutex
	begun    time.Time           // start of the current window
	current  map[K]time.Duration // in the current window
	previous map[K]time.Duration // in the window before
}

// New returns a Longest that keeps a duration for at least one window, and at most two. The window
// must be positive.
func New[K comparable](window time.Duration) *Longest[K] {
	return &Longest[K]{window: window, current: make(map[K]time.Duration)}
}

// Observe records a duration.
func (l *Longest[K]) Observe(key K, d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.current[key] = max(l.current[key], d)
}

// Of returns the longest recent duration of a key; false: none was observed recently.
func (l *Longest[K]) Of(key K, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	current, isCurrent := l.current[key]
	previous, isPrevious := l.previous[key]
	return max(current, previous), isCurrent || isPrevious
}

// advance starts a new window if the current one is over.
func (l *Longest[K]) advance(now time.Time) {
	age := now.Sub(l.begun)
	if age < l.window {
		return
	}
	l.previous = l.current
	if age >= 2*l.window {
		l.previous = nil
	}
	l.begun, l.current = now, make(map[K]time.Duration)
}
