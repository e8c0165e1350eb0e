package control

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// The decisions do no I/O and read no clock: neither this package nor those below it import a package that does.
func TestDecisionsArePure(t *testing.T) {
	checkImports(t, 6, []string{"."}, "beammux/control")
}

// The checkers of recorded runs do no I/O and read no clock either.
func TestJudgesArePure(t *testing.T) {
	checkImports(t, 6, []string{"../internal/history", "../internal/fleetcheck"}, "beammux/control", "beammux/internal/history")
}

// checkImports fails the test for each import below the folders that does I/O, reads a clock or is a package of this module
// outside the allowed ones, and if it finds fewer than minFiles source files.
func checkImports(t *testing.T, minFiles int, folders []string, allowed ...string) {
	t.Helper()
	forbidden := []string{"net", "os", "io", "time", "syscall", "bufio", "log", "math/rand"}
	files := 0
	check := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, _ := strconv.Unquote(spec.Path.Value)
			root, _, _ := strings.Cut(name, "/")
			if slices.Contains(forbidden, name) || slices.Contains([]string{"net", "os", "io", "log"}, root) ||
				strings.HasPrefix(name, "beammux/") && !slices.ContainsFunc(allowed, func(a string) bool { return name == a || strings.HasPrefix(name, a+"/") }) {
				t.Errorf("%s imports %s", path, name)
			}
		}
		return nil
	}
	for _, folder := range folders {
		if err := filepath.WalkDir(folder, check); err != nil {
			t.Error(err)
		}
	}
	if files < minFiles {
		t.Errorf("%d files read, want at least %d", files, minFiles)
	}
}
