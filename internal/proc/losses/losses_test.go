package losses

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const log = `
  0.1 vm-1 {"ts":"2026-01-23T12:00:00.1Z","msg":"placed","request":"a"}
  0.1 vm-1 {"ts":"2026-01-23T12:00:00.1Z","msg":"placed","request":"b"}
  2.0 vm-1 {"ts":"2026-01-23T12:00:02.0Z","msg":"call ended","request":"a","service":"s","kind":"stream","status":200,"first":"500ms","total":"1.5s","events":11,"moves":1}
  2.1 vm-1 {"ts":"2026-01-23T12:00:02.1Z","msg":"call ended","request":"c","service":"p","kind":"once","status":503,"reason":"no-server","first":"0s","total":"1ms","events":0,"moves":0}
  2.2 vm-1 {"ts":"2026-01-23T12:00:02.2Z","msg":"call ended","request":"d","service":"p","kind":"once","status":500,"first":"1ms","total":"1ms","events":0,"moves":0}
 {"ts":
 a line without an object
`

func TestSummary(t *testing.T) {
	s := New()
	assert.NilError(t, s.Read(strings.NewReader(log)))
	t.Run("streams", func(t *testing.T) {
		g := s.Groups()[Key{Service: "s", Kind: "stream"}]
		assert.Equal(t, g.Ended, 1)
		assert.Equal(t, g.Moved, 1)
		assert.DeepEqual(t, g.EventTimes, []time.Duration{100 * time.Millisecond})
		assert.Equal(t, s.Unfinished(), 1, "request b was placed and did not end")
	})
	t.Run("causes", func(t *testing.T) {
		g := s.Groups()[Key{Service: "p", Kind: "once"}]
		assert.DeepEqual(t, g.Causes, map[string]int{"no-server": 1, "status 500 of the server": 1})
	})
	t.Run("lines that can't be parsed are counted", func(t *testing.T) {
		assert.Equal(t, s.Unread(), 1)
	})
	t.Run("printed", func(t *testing.T) {
		var b strings.Builder
		assert.NilError(t, s.Print(&b))
		for _, want := range []string{LostWithVM + ": 1", "no-server: 1", "100ms", "2026-01-23T12:00:02: 2"} {
			assert.Assert(t, strings.Contains(b.String(), want), "%s lacks %q", b.String(), want)
		}
	})
}
