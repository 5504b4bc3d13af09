// Package doccomments finds exported declarations without a doc comment. The form of existing comments is checked by staticcheck.
package doccomments

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
)

// Missing returns the position and name of each exported declaration below a folder that has no doc comment. It skips tests,
// commands, generated files, testdata and folders whose names begin with a dot.
func Missing(root string) ([]string, error) {
	var missing []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if path != root && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata") {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		found, err := missingInFile(path)
		missing = append(missing, found...)
		return err
	})
	return missing, err
}

func missingInFile(path string) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("doccomments: %w", err)
	}
	if file.Name.Name == "main" || ast.IsGenerated(file) {
		return nil, nil
	}
	var missing []string
	for _, declaration := range file.Decls {
		for _, name := range undocumented(declaration) {
			missing = append(missing, fmt.Sprintf("%s: %s", files.Position(name.Pos()), name.Name))
		}
	}
	return missing, nil
}

// undocumented returns the exported names of a declaration that have no comment. In a group, a comment of the group or at the
// end of the line is sufficient.
func undocumented(declaration ast.Decl) []*ast.Ident {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Doc == nil && d.Name.IsExported() && receiverIsExported(d) {
			return []*ast.Ident{d.Name}
		}
	case *ast.GenDecl:
		if d.Doc == nil {
			return undocumentedSpecs(d.Specs)
		}
	}
	return nil
}

func undocumentedSpecs(specs []ast.Spec) []*ast.Ident {
	var missing []*ast.Ident
	for _, spec := range specs {
		var names []*ast.Ident
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Doc == nil && s.Comment == nil {
				names = []*ast.Ident{s.Name}
			}
		case *ast.ValueSpec:
			if s.Doc == nil && s.Comment == nil {
				names = s.Names
			}
		}
		for _, name := range names {
			if name.IsExported() {
				missing = append(missing, name)
			}
		}
	}
	return missing
}

// receiverIsExported reports whether a function has no receiver or one of an exported type.
func receiverIsExported(function *ast.FuncDecl) bool {
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
	return !ok || name.IsExported()
}
