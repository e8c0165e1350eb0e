package advice

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// packages lists the packages whose errors must be types with advice. New packages must be added here.
var packages = []string{
	"control/heavy", "control/outlier", "control/quota", "control/registers", "control/scope",
	"internal/counting", "internal/ejection", "internal/fleet", "internal/follow", "internal/limits", "internal/node", "internal/store",
}

// minAdviceLength is the shortest length in bytes of a useful advice text.
const minAdviceLength = 25

// Every error type of the fleet packages has advice for the operator.
func TestEveryErrorTypeHasAdvice(t *testing.T) {
	types := 0
	for _, dir := range packages {
		files, err := filepath.Glob(filepath.Join("../..", dir, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files, dir)
		hasError, hasAdvice := map[string]bool{}, map[string]bool{}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			f, err := parser.ParseFile(token.NewFileSet(), file, text, 0)
			require.NoError(t, err)
			for _, d := range f.Decls {
				m, ok := d.(*ast.FuncDecl)
				if !ok || m.Recv == nil || len(m.Recv.List) != 1 {
					continue
				}
				typeName := receiverName(m.Recv.List[0].Type)
				switch m.Name.Name {
				case "Error":
					hasError[typeName] = true
				case "Advice":
					hasAdvice[typeName] = longestString(m.Body) >= minAdviceLength
				}
			}
		}
		for name := range hasError {
			types++
			if !hasAdvice[name] {
				t.Errorf("%s.%s has no advice", dir, name)
			}
		}
	}
	require.Greater(t, types, 5)
}

func receiverName(e ast.Expr) string {
	if p, ok := e.(*ast.StarExpr); ok {
		e = p.X
	}
	if id, ok := e.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}

// longestString returns the length of the longest string literal in a function body.
func longestString(body *ast.BlockStmt) (n int) {
	ast.Inspect(body, func(x ast.Node) bool {
		if l, ok := x.(*ast.BasicLit); ok && l.Kind == token.STRING {
			n = max(n, len(l.Value)-2)
		}
		return true
	})
	return n
}

type sampleError struct{}

func (sampleError) Error() string  { return "failure" }
func (sampleError) Advice() string { return "repair it" }

func TestOf(t *testing.T) {
	require.Equal(t, "repair it", Of(fmt.Errorf("at the start: %w", sampleError{})))
	require.Empty(t, Of(errors.New("plain")))
	require.Empty(t, Of(nil))
}
