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

// Decisions do no I/O and read no clock: neither this package nor those below it import what does.
func TestDecisionsArePure(t *testing.T) {
	checkImports(t, 6, []string{"."}, "beammux/control")
}

// The judges of recorded runs are no decisions, but as pure.
func TestJudgesArePure(t *testing.T) {
	checkImports(t, 6, []string{"../internal/history", "../internal/fleetcheck"}, "beammux/control", "beammux/internal/history")
}

// checkImports fails the test for each import below the folders that does I/O, reads a clock or is a package of this module
// outside the allowed ones; and if it finds fewer source files than expected.
func checkImports(t *testing.T, leastFiles int, folders []string, allowed ...string) {
	t.Helper()
	forbidden := []string{"net", "os", "io", "time", "syscall", "bufio", "log", "math/rand"}
	files := 0
	check := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			name, _ := strconv.Unquote(i.Path.Value)
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
	if files < leastFiles {
		t.Errorf("%d files read, expected %d at least", files, leastFiles)
	}
}
