package reqlog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func logLine(vm string, at time.Duration, msg, rest string) string {
	return fmt.Sprintf(`{"ts":%q,"vm":%q,"msg":%q%s}`+"\n", start.Add(at).Format(time.RFC3339Nano), vm, msg, rest)
}

func TestTimeline(t *testing.T) {
	const ahead = time.Minute
	a := logLine("a", 0, "settings in force", `,"version":3`) +
		logLine("a", time.Second, "placed", `,"request":"r","server":"s1"`) +
		logLine("a", 1500*time.Millisecond, "server changed", `,"server":"s1"`) +
		logLine("a", 1600*time.Millisecond, "server changed", `,"server":"other"`) +
		logLine("a", 3*time.Second, "call ended", `,"request":"r","server":"s2"`) +
		logLine("a", 2*time.Second, "call ended", `,"request":"another"`) +
		"no JSON\n\n" + `{"ts":"never"}` + "\n"
	b := logLine("b", ahead, "settings in force", `,"version":3`) +
		logLine("b", ahead+2*time.Second, "taken over", `,"request":"r"`)
	r := New("r")
	assert.NilError(t, r.Read("a.log", strings.NewReader(a)))
	assert.NilError(t, r.Read("b.log", strings.NewReader(b)))
	var got []string
	for _, l := range r.Timeline() {
		got = append(got, l.VM+" "+l.Message)
	}
	assert.DeepEqual(t, got, []string{
		"a settings in force", "b settings in force", "a placed", "a server changed", "b taken over", "a call ended",
	})
	assert.Equal(t, len(r.BadLines()), 2)
	assert.Equal(t, r.BadLines()[0].Line, 7)
	assert.Equal(t, len(New("nobody").Timeline()), 0)
}

// FuzzRead checks that arbitrary input never makes the reader panic.
func FuzzRead(f *testing.F) {
	f.Add(`{"ts":"2026-01-01T00:00:00Z","vm":1,"msg":[]}`)
	f.Add(`{"ts":"2026-01-01T00:00:00Z","msg":"settings in force","version":-1}`)
	f.Fuzz(func(t *testing.T, s string) {
		r := New("r")
		if err := r.Read("f", strings.NewReader(s)); err == nil {
			r.Timeline()
		}
	})
}
