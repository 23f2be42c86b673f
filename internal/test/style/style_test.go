// Package style checks rules on the source code that the linter cannot express.
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

const moduleRoot = "../../.."

// walkSources calls f for each Go source file that is not generated.
func walkSources(t *testing.T, f func(path string, file *ast.File, fset *token.FileSet)) {
	t.Helper()
	fset := token.NewFileSet()
	err := filepath.WalkDir(moduleRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") ||
			strings.HasSuffix(path, ".pb.go") || strings.HasSuffix(path, ".twirp.go") {
			return err
		}
		file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		f(path, file, fset)
		return nil
	})
	assert.NilError(t, err)
}

// TestNoGoStatements fails if there is a go statement. Goroutines have to be
// started through a group.
func TestNoGoStatements(t *testing.T) {
	files := 0
	walkSources(t, func(_ string, file *ast.File, fset *token.FileSet) {
		files++
		ast.Inspect(file, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: go statement; start the goroutine through a group", fset.Position(g.Pos()))
			}
			return true
		})
	})
	assert.Assert(t, files > 50, "only %d files were parsed", files)
}

// TestPackageNames fails if the path of an internal package does not have the
// form internal/<area>/<four to six lower-case letters>.
func TestPackageNames(t *testing.T) {
	validPath := regexp.MustCompile(`^internal/[a-z]+/[a-z]{4,6}$`)
	walkSources(t, func(path string, _ *ast.File, _ *token.FileSet) {
		rel, err := filepath.Rel(moduleRoot, filepath.Dir(path))
		assert.NilError(t, err)
		if strings.HasPrefix(rel, "internal/") && !validPath.MatchString(filepath.ToSlash(rel)) {
			t.Errorf("%s: package path does not match internal/<area>/<four to six lower-case letters>", rel)
		}
	})
}

// TestNoTagsOnDomainTypes fails if a domain type has struct tags. Tags are allowed
// only on codec types, whose names end in Wire, on types in tests, and on the output
// types of the load generator.
func TestNoTagsOnDomainTypes(t *testing.T) {
	walkSources(t, func(path string, file *ast.File, fset *token.FileSet) {
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
					t.Errorf("%s: struct tag on domain type %s", fset.Position(f.Pos()), spec.Name.Name)
				}
				return true
			})
			return true
		})
	})
}
