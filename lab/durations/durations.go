// Package durations finds durations that are constants in the mesh. Durations behind a guarantee are derived in mesh/timing. Each
// constant elsewhere has to be listed in exceptions.txt with the reason why it does not depend on a deployment's settings.
//
// Start reading at Find.
package durations

import (
	"bufio"
	_ "embed"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// exceptionList is the text of exceptions.txt. Each line has a constant and, after a bar, its reason.
//
//go:embed exceptions.txt
var exceptionList string

// ErrMalformed is returned for a line of exceptions.txt that lacks a name or a reason.
var ErrMalformed = errors.New("want: folder.Name | reason")

// Exceptions returns the reasons of the listed constants by name, such as "mesh/persist.DiskTimeout".
func Exceptions() (map[string]string, error) {
	reasons := map[string]string{}
	lines := bufio.NewScanner(strings.NewReader(exceptionList))
	for lines.Scan() {
		name, reason, found := strings.Cut(lines.Text(), "|")
		if name, reason = strings.TrimSpace(name), strings.TrimSpace(reason); !found || name == "" || reason == "" {
			return nil, errors.Wrapf(ErrMalformed, "%q", lines.Text())
		}
		reasons[name] = reason
	}
	return reasons, lines.Err()
}

// Find returns the sorted names of the declarations below some folders of a module that contain a constant duration: the name of the
// constant or variable, or of the function that contains it. Tests are skipped.
func Find(root string, folders ...string) ([]string, error) {
	found := map[string]bool{}
	for _, folder := range folders {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return findInFile(root, path, found)
		})
		if err != nil {
			return nil, errors.Wrap(err, "durations")
		}
	}
	return slices.Sorted(maps.Keys(found)), nil
}

func findInFile(root, path string, found map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	folder, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		return err
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Body != nil && statesDuration(d.Body) {
				found[folder+"."+d.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				value, ok := spec.(*ast.ValueSpec)
				if ok && slices.ContainsFunc(value.Values, func(v ast.Expr) bool { return isUnit(v) || statesDuration(v) }) {
					found[folder+"."+value.Names[0].Name] = true
				}
			}
		}
	}
	return nil
}

// statesDuration reports whether a syntax tree contains a number multiplied by a unit of time, or a unit as a field's value. Units used
// in conversions, divisions or comparisons do not count.
func statesDuration(node ast.Node) (states bool) {
	ast.Inspect(node, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BinaryExpr:
			states = states || n.Op == token.MUL && (isNumber(n.X) && isUnit(n.Y) || isUnit(n.X) && isNumber(n.Y))
		case *ast.KeyValueExpr:
			states = states || isUnit(n.Value)
		}
		return !states
	})
	return states
}

func isNumber(e ast.Expr) bool {
	literal, ok := e.(*ast.BasicLit)
	return ok && (literal.Kind == token.INT || literal.Kind == token.FLOAT)
}

// isUnit reports whether an expression is a unit of package time or a negated one.
func isUnit(e ast.Expr) bool {
	if unary, ok := e.(*ast.UnaryExpr); ok {
		e = unary.X
	}
	selector, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	from, ok := selector.X.(*ast.Ident)
	return ok && from.Name == "time" && slices.Contains([]string{"Microsecond", "Millisecond", "Second", "Minute", "Hour"}, selector.Sel.Name)
}
