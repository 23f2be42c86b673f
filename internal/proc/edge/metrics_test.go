package edge

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var writeDocs = flag.Bool("write-docs", false, "write the table of docs/METRICS.md")

const metricsPage = "../../../docs/METRICS.md"

// TestPage checks that the table in docs/METRICS.md lists exactly the metrics that
// Metrics returns. With -write-docs it rewrites the table.
func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("| metric | kind | what it tells |\n|---|---|---|\n")
	for _, m := range Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, m.Kind, m.Help)
	}
	data, err := os.ReadFile(metricsPage)
	assert.NilError(t, err)
	head, _, _ := strings.Cut(string(data), "| metric |")
	want := head + b.String()
	if *writeDocs {
		assert.NilError(t, os.WriteFile(metricsPage, []byte(want), 0o600))
		return
	}
	assert.Equal(t, string(data), want, "run go test ./internal/proc/edge -run TestPage -write-docs")
}
