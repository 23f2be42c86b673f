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

var write = flag.Bool("write-docs", false, "write the edge VM's table of docs/SETTINGS.md")

const (
	page     = "../../../docs/SETTINGS.md"
	headline = "## Settings of an edge VM"
)

// TestEdgePage holds the table of docs/SETTINGS.md to the members that there are.
func TestEdgePage(t *testing.T) {
	var b strings.Builder
	b.WriteString("| member | default | meaning |\n|---|---|---|\n")
	for _, m := range EdgeMembers() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Path, cmp.Or(m.Default, "must be given"), m.Help)
	}
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	before, section, found := strings.Cut(string(data), headline)
	assert.Assert(t, found)
	head, _, _ := strings.Cut(section, "| member |")
	want := before + headline + head + b.String()
	if *write {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o600))
		return
	}
	assert.Equal(t, string(data), want, "run go test ./internal/proc/conf -run TestEdgePage -write-docs")
}

// TestEdgeMembers holds the table to the members that the file is decoded into.
func TestEdgeMembers(t *testing.T) {
	var known []string
	for _, m := range EdgeMembers() {
		known = append(known, m.Path)
	}
	assert.DeepEqual(t, known, members(reflect.TypeFor[edgeWire](), ""))
}

// members returns the paths of a wire type's members.
func members(t reflect.Type, prefix string) []string {
	var out []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, members(f.Type, prefix+name+"/")...)
			continue
		}
		out = append(out, prefix+name)
	}
	return out
}
