package conf

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var writeDocs = flag.Bool("write-docs", false, "write the edge VM's table of docs/SETTINGS.md")

const (
	settingsPage = "../../../docs/SETTINGS.md"
	edgeHeading  = "## Settings of an edge VM"
)

// TestEdgePage checks that the table in docs/SETTINGS.md lists exactly the members
// that EdgeMembers returns. With -write-docs it rewrites the table.
func TestEdgePage(t *testing.T) {
	var b strings.Builder
	b.WriteString("| member | default | meaning |\n|---|---|---|\n")
	for _, m := range EdgeMembers() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Path, cmp.Or(m.Default, "must be given"), m.Help)
	}
	data, err := os.ReadFile(settingsPage)
	assert.NilError(t, err)
	before, section, found := strings.Cut(string(data), edgeHeading)
	assert.Assert(t, found)
	head, _, _ := strings.Cut(section, "| member |")
	want := before + edgeHeading + head + b.String()
	if *writeDocs {
		assert.NilError(t, os.WriteFile(settingsPage, []byte(want), 0o600))
		return
	}
	assert.Equal(t, string(data), want, "run go test ./internal/proc/conf -run TestEdgePage -write-docs")
}

// TestEdgeMembers checks that EdgeMembers lists exactly the members that a settings
// file is decoded into.
func TestEdgeMembers(t *testing.T) {
	var known []string
	for _, m := range EdgeMembers() {
		known = append(known, m.Path)
	}
	assert.DeepEqual(t, known, memberPaths(reflect.TypeFor[edgeWire](), ""))
}

// memberPaths returns the JSON paths of the members of a wire type.
func memberPaths(t reflect.Type, prefix string) []string {
	var out []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, memberPaths(f.Type, prefix+name+"/")...)
			continue
		}
		out = append(out, prefix+name)
	}
	return out
}
