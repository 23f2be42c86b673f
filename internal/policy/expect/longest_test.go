package expect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ExampleLongest() {
	l, now := New[string](time.Minute), time.Unix(0, 0)
	l.Observe("a", 20*time.Millisecond, now)
	l.Observe("a", 5*time.Second, now)
	l.Observe("a", 10*time.Millisecond, now.Add(time.Second))
	fmt.Println(l.Of("a", now.Add(time.Second)))
	fmt.Println(l.Of("b", now.Add(time.Second)))
	// Output:
	// 5s true
	// 0s false
}

// TestRetention checks that a duration counts for one window at least, and two at most.
func TestRetention(t *testing.T) {
	const window = time.Minute
	for after, want := range map[time.Duration]bool{0: true, window - 1: true, window: true, window + time.Second: true, 2 * window: false, 10 * window: false} {
		t.Run(after.String(), func(t *testing.T) {
			l, now := New[int](window), time.Unix(1000, 0)
			l.Observe(1, time.Second, now)
			d, ok := l.Of(1, now.Add(after))
			assert.Equal(t, ok, want)
			assert.Equal(t, d == time.Second, want)
		})
	}
}

// TestQuietWindow checks that a duration is forgotten also if others are observed meanwhile.
func TestQuietWindow(t *testing.T) {
	l, now := New[int](time.Minute), time.Unix(1000, 0)
	l.Observe(1, 5*time.Second, now)
	for n := range 5 {
		l.Observe(1, time.Second, now.Add(time.Duration(n)*50*time.Second))
	}
	d, ok := l.Of(1, now.Add(200*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, d, time.Second)
}
