package edit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// maxDiff bounds the members that a diff lists.
const maxDiff = 20

// Diff lists the members that differ between two JSON documents, as JSON
// pointers followed by "added", "removed" or "changed".
func Diff(before, after []byte) []string {
	var a, b any
	_ = json.Unmarshal(before, &a)
	_ = json.Unmarshal(after, &b)
	var out []string
	walk("", a, b, &out)
	slices.Sort(out)
	if len(out) > maxDiff {
		more := len(out) - maxDiff
		out = append(out[:maxDiff], fmt.Sprintf("and %d more", more))
	}
	return out
}

func walk(path string, a, b any, out *[]string) {
	ma, aok := a.(map[string]any)
	mb, bok := b.(map[string]any)
	la, alist := a.([]any)
	lb, blist := b.([]any)
	switch {
	case aok && bok:
		walkObjects(path, ma, mb, out)
	case alist && blist:
		walkLists(path, la, lb, out)
	case a == nil && b != nil:
		*out = append(*out, path+" added")
	case a != nil && b == nil:
		*out = append(*out, path+" removed")
	case !same(a, b):
		*out = append(*out, path+" changed")
	}
}

func walkObjects(path string, a, b map[string]any, out *[]string) {
	for k, v := range a {
		walk(path+"/"+escape(k), v, b[k], out)
	}
	for k, v := range b {
		if _, ok := a[k]; !ok {
			walk(path+"/"+escape(k), nil, v, out)
		}
	}
}

func walkLists(path string, a, b []any, out *[]string) {
	for i := range max(len(a), len(b)) {
		var x, y any
		if i < len(a) {
			x = a[i]
		}
		if i < len(b) {
			y = b[i]
		}
		walk(fmt.Sprintf("%s/%d", path, i), x, y, out)
	}
}

func escape(k string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(k)
}

func same(a, b any) bool {
	x, _ := json.Marshal(a)
	y, _ := json.Marshal(b)
	return bytes.Equal(x, y)
}
