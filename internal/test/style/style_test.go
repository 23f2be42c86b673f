// Package style holds rules on the source that the linter can't state.
package style

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../../.."

// sources calls f with every source file that is not generated.
func sources(t *testing.T, f func(path string, file *ast.File, set *token.FileSet)) {
	t.Helper()
	set := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") ||
			strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go") {
			return err
		}
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		f(path, file, set)
		return nil
	})
	assert.NilError(t, err)
}

// TestNoBareGo fails on a go statement: goroutines start through a group.
func TestNoBareGo(t *testing.T) {
	files := 0
	sources(t, func(_ string, file *ast.File, set *token.FileSet) {
		files++
		ast.Inspect(file, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: a go statement; start it through a group", set.Position(g.Pos()))
			}
			return true
		})
	})
	assert.Assert(t, files > 50, "only %d files were read", files)
}

// TestPackageNames holds packages to internal/<area>/<four to six letters>.
func TestPackageNames(t *testing.T) {
	right := regexp.MustCompile(`^internal/[a-z]+/[a-z]{4,6}$`)
	sources(t, func(path string, _ *ast.File, _ *token.FileSet) {
		rel, err := filepath.Rel(root, filepath.Dir(path))
		assert.NilError(t, err)
		if strings.HasPrefix(rel, "internal/") && !right.MatchString(filepath.ToSlash(rel)) {
			t.Errorf("%s is no package path of the house style", rel)
		}
	})
}

// TestNoTagsOnDomainTypes holds domain types to having no tags: only types of the
// codecs, whose names end in Wire, and those of tests and of the load driver's
// output have them.
func TestNoTagsOnDomainTypes(t *testing.T) {
	sources(t, func(path string, file *ast.File, set *token.FileSet) {
		if strings.HasSuffix(path, "_test.go") || strings.Contains(path, "internal/load/") {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok || strings.HasSuffix(spec.Name.Name, "Wire") {
				return true
			}
			ast.Inspect(spec, func(n ast.Node) bool {
				if f, ok := n.(*ast.Field); ok && f.Tag != nil {
					t.Errorf("%s: a tag on the domain type %s", set.Position(f.Pos()), spec.Name.Name)
				}
				return true
			})
			return true
		})
	})
}
