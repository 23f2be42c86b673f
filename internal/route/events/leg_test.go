package events

import (
	"errors"
	"io"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestEnd reads many streams to their end: once there are no more events, the
// reason must be known.
func TestEnd(t *testing.T) {
	for range 2000 {
		var g errgroup.Group
		l := New(&g, io.NopCloser(strings.NewReader("id: 1\ndata: x\n\nid: 2\nda")), true)
		got := ""
		for p := range l.Events() {
			got += string(p)
		}
		select {
		case <-l.Done():
		default:
			t.Fatal("no more events, and no reason")
		}
		assert.Assert(t, errors.Is(l.Err(), io.EOF))
		assert.Equal(t, got, "id: 1\ndata: x\n\nid: 2\nda")
		_ = g.Wait()
	}
}
