// Package doclinks finds references in the documentation that don't exist in the module: paths, files, packages, types, functions,
// tests, log lines and links to other pages. It is used only by its test, which fails in CI if a page still has an old name after a
// renaming.
//
// Start reading at Index.Check.
package doclinks

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Index holds everything in a module that a page can refer to. It is read-only after Load.
type Index struct {
	root         string
	roots        map[string]bool            // entries of the module's root
	declared     map[string]map[string]bool // by folder: names, and members as Type.Member
	folders      map[string][]string        // by package name
	files        map[string][]string        // folders by base name of a Go file
	allNames     map[string]bool            // names and members declared in any folder
	types        map[string]bool            // names of types, in any folder
	literals     []string                   // string literals outside tests
	literalWords map[string]bool
	timelines    map[string]bool // names of the timelines in the files testdata/timelines
}

// Load indexes the Go files of a module. It skips folders whose names begin with a dot and, except for timelines, testdata.
func Load(root string) (*Index, error) {
	x := &Index{
		root: root, roots: map[string]bool{}, declared: map[string]map[string]bool{}, folders: map[string][]string{},
		files: map[string][]string{}, allNames: map[string]bool{}, literalWords: map[string]bool{}, timelines: map[string]bool{},
		types: map[string]bool{},
	}
	entries, err := os.ReadDir(root)
	if err != nil {
		return nil, errors.Wrap(err, "doclinks")
	}
	for _, e := range entries {
		x.roots[e.Name()] = true
	}
	err = filepath.WalkDir(root, func(file string, e fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case e.IsDir() && file != root && strings.HasPrefix(e.Name(), "."):
			return fs.SkipDir
		case e.IsDir() && e.Name() == "testdata":
			if err := x.addTimelines(filepath.Join(file, "timelines")); err != nil {
				return err
			}
			return fs.SkipDir
		case e.IsDir() || !strings.HasSuffix(file, ".go"):
			return nil
		}
		return x.addFile(file)
	})
	if err != nil {
		return nil, errors.Wrap(err, "doclinks")
	}
	return x, nil
}

// addTimelines adds the names in a file of timelines, which are the lines of one hyphenated word. The file may be missing.
func (x *Index) addTimelines(file string) error {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	for _, line := range strings.Split(string(text), "\n") {
		if hyphenated.MatchString(line) {
			x.timelines[line] = true
		}
	}
	return err
}

func (x *Index) addFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(x.root, file)
	if err != nil {
		return err
	}
	folder := path.Dir(filepath.ToSlash(relative))
	x.files[path.Base(relative)] = append(x.files[path.Base(relative)], folder)
	if x.declared[folder] == nil {
		x.declared[folder] = map[string]bool{}
		name := strings.TrimSuffix(parsed.Name.Name, "_test")
		if name == "main" {
			name = path.Base(folder)
		}
		x.folders[name] = append(x.folders[name], folder)
		if base := path.Base(folder); base != name {
			x.folders[base] = append(x.folders[base], folder)
		}
	}
	for _, d := range parsed.Decls {
		x.addDeclaration(folder, d)
	}
	if !strings.HasSuffix(file, "_test.go") {
		ast.Inspect(parsed, x.addLiteral)
	}
	return nil
}

func (x *Index) addLiteral(n ast.Node) bool {
	literal, ok := n.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return true
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return true
	}
	x.literals = append(x.literals, text)
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r != '_' && !isAlphanumeric(r) }) {
		x.literalWords[word] = true
	}
	return true
}

func isAlphanumeric(r rune) bool {
	return r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
}

func (x *Index) add(folder, name string) {
	x.declared[folder][name] = true
	x.allNames[name] = true
}

func (x *Index) addDeclaration(folder string, d ast.Decl) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		x.add(folder, d.Name.Name)
		if d.Recv != nil {
			x.add(folder, receiver(d.Recv.List[0].Type)+"."+d.Name.Name)
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range s.Names {
					x.add(folder, name.Name)
				}
			case *ast.TypeSpec:
				x.add(folder, s.Name.Name)
				x.types[s.Name.Name] = true
				x.addMembers(folder, s.Name.Name, s.Type)
			}
		}
	}
}

func (x *Index) addMembers(folder, name string, t ast.Expr) {
	var fields *ast.FieldList
	switch t := t.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, f := range fields.List {
		for _, member := range f.Names {
			x.add(folder, member.Name)
			x.add(folder, name+"."+member.Name)
		}
	}
}

// receiver returns the name of a method's receiver type.
func receiver(t ast.Expr) string {
	switch t := t.(type) {
	case *ast.StarExpr:
		return receiver(t.X)
	case *ast.IndexExpr:
		return receiver(t.X)
	case *ast.IndexListExpr:
		return receiver(t.X)
	case *ast.Ident:
		return t.Name
	}
	return ""
}
