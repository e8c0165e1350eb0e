package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const minimumPackages = 50 // fewer mean that the walk missed folders

// wellKnown holds methods of standard interfaces, whose contract needs no words.
var wellKnown = map[string]bool{"Error": true, "String": true, "Unwrap": true}

// TestDocumentation checks that each package has a package comment and each exported declaration outside tests a doc comment.
func TestDocumentation(t *testing.T) {
	packages := map[string]bool{} // by folder: whether a file has a package comment
	for _, folder := range []string{"../../cmd", "../../control", "../../internal"} {
		require.NoError(t, filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
			if err != nil {
				return err
			}
			directory := filepath.Dir(path)
			packages[directory] = packages[directory] || file.Doc != nil
			for _, declaration := range file.Decls {
				for _, name := range undocumented(declaration) {
					t.Errorf("%s: %s has no doc comment", files.Position(name.Pos()), name.Name)
				}
			}
			return nil
		}))
	}
	for directory, documented := range packages {
		require.True(t, documented, "%s: no package comment", directory)
	}
	require.GreaterOrEqual(t, len(packages), minimumPackages)
}

// undocumented returns the exported names that a declaration introduces without a doc comment. Constants and variables may
// share the comment of their block, or have one at the end of their line.
func undocumented(declaration ast.Decl) (names []*ast.Ident) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Doc == nil && declaration.Name.IsExported() && exportedReceiver(declaration) &&
			(declaration.Recv == nil || !wellKnown[declaration.Name.Name]) {
			names = append(names, declaration.Name)
		}
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				if declaration.Doc == nil && spec.Doc == nil && spec.Name.IsExported() {
					names = append(names, spec.Name)
				}
			case *ast.ValueSpec:
				if declaration.Doc == nil && spec.Doc == nil && spec.Comment == nil && spec.Names[0].IsExported() {
					names = append(names, spec.Names[0])
				}
			}
		}
	}
	return names
}

// exportedReceiver reports whether a function has no receiver or one of an exported type.
func exportedReceiver(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return true
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return ok && name.IsExported()
}
