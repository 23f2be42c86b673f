package edge

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var write = flag.Bool("write-docs", false, "write the table of docs/METRICS.md")

const page = "../../../docs/METRICS.md"

// TestPage holds docs/METRICS.md to the metrics that there are.
func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("| metric | kind | what it tells |\n|---|---|---|\n")
	for _, m := range Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, m.Kind, m.Help)
	}
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	head, _, _ := strings.Cut(string(data), "| metric |")
	want := head + b.String()
	if *write {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o600))
		return
	}
	assert.Equal(t, string(data), want, "run go test ./internal/proc/edge -run TestPage -write-docs")
}
