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

// packages whose errors must be types that advise. New packages are added here as they come.
var packages = []string{
	"control/heavy", "control/outlier", "control/quota", "control/registers", "control/scope",
	"internal/counting", "internal/ejection", "internal/fleet", "internal/follow", "internal/limits", "internal/node", "internal/store",
}

// minAdviceLength advice that can tell anything.
const minAdviceLength = 25

// Every error type of the fleet's parts says what an operator can do, and no new part makes errors that are no types.
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
				t.Errorf("%s.%s gives no advice", dir, name)
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

// longestString is the length of the longest text in a body.
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

func (sampleError) Error() string  { return "it broke" }
func (sampleError) Advice() string { return "mend it" }

func TestOf(t *testing.T) {
	require.Equal(t, "mend it", Of(fmt.Errorf("at the start: %w", sampleError{})))
	require.Empty(t, Of(errors.New("plain")))
	require.Empty(t, Of(nil))
}
