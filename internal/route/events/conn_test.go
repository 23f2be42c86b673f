package events

import (
	"errors"
	"io"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestEnd reads many streams to their end. When the channel of events is closed, Done
// must be closed too and Err must be set.
func TestEnd(t *testing.T) {
	for range 2000 {
		var g errgroup.Group
		c := New(&g, io.NopCloser(strings.NewReader("id: 1\ndata: x\n\nid: 2\nda")), true)
		got := ""
		for p := range c.Events() {
			got += string(p)
		}
		select {
		case <-c.Done():
		default:
			t.Fatal("events is closed, but done is not")
		}
		assert.Assert(t, errors.Is(c.Err(), io.EOF))
		assert.Equal(t, got, "id: 1\ndata: x\n\nid: 2\nda")
		_ = g.Wait()
	}
}
