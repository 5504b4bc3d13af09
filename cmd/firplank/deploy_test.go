package main

import (
	"debug/elf"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func goTool(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command("go", args...)
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("go %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out)
}

// The fleet tests preload a library into the sidecar. This guards against a deployment that this does not work with: the build command of
// the deploy file must link dynamically against the C library, and its run command must be a single process.
func TestDeploymentLinksDynamically(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	const linkFlag = "-ldflags=-linkmode=external"
	if !strings.Contains(deploy.Build, "CGO_ENABLED=1 go build "+linkFlag) {
		t.Errorf("build is %q", deploy.Build)
	}
	if !strings.HasPrefix(deploy.Run, "exec ") || strings.ContainsAny(deploy.Run, "&|;") {
		t.Errorf("run is %q: want one process", deploy.Run)
	}
	program := filepath.Join(t.TempDir(), "firplank")
	goTool(t, "build", linkFlag, "-o", program, ".")
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	libraries, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("needs %q (%v): the C library is missing", libraries, err)
	}
	if f.Section(".interp") == nil {
		t.Error("the program names no dynamic loader")
	}
}

// bannedCalls are the functions that the fleet tests do not allow, by package. They start processes, or copy between file descriptors
// inside the kernel, as io.Copy does if both ends are sockets or files. Copies to io.Discard are allowed.
var bannedCalls = map[string][]string{
	"os": {"StartProcess"}, "syscall": {"ForkExec", "StartProcess", "Exec", "Splice", "Sendfile"},
	"unix": {"Splice", "Sendfile", "Exec"}, "io": {"Copy", "CopyBuffer", "CopyN"},
}

// Guards against imports that can start processes, and against banned calls in the module's own packages.
func TestNoBannedImportsOrCalls(t *testing.T) {
	for _, pkg := range strings.Fields(goTool(t, "list", "-deps", ".")) {
		if slices.Contains([]string{"os/exec", "plugin", "net/http/cgi", "net/http/fcgi"}, pkg) {
			t.Errorf("the program imports %s", pkg)
		}
	}
	for _, file := range strings.Fields(goTool(t, "list", "-deps", "-f",
		`{{if .Module}}{{if .Module.Main}}{{$d := .Dir}}{{range .GoFiles}}{{$d}}/{{.}} {{end}}{{end}}{{end}}`, ".")) {
		fset := token.NewFileSet()
		parsed, err := parser.ParseFile(fset, file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			name, qualifier := selectedName(call.Fun)
			if slices.Contains(bannedCalls[qualifier], name) {
				if to, from := selectedName(call.Args[0]); qualifier != "io" || from != "io" || to != "Discard" {
					t.Errorf("%s: %s.%s", fset.Position(call.Pos()), qualifier, name)
				}
			}
			return true
		})
	}
}

// selectedName returns the name and the qualifier of a selector expression on an identifier, and empty strings for other expressions.
func selectedName(e ast.Expr) (name, qualifier string) {
	if s, ok := e.(*ast.SelectorExpr); ok {
		if x, ok := s.X.(*ast.Ident); ok {
			return s.Sel.Name, x.Name
		}
	}
	return "", ""
}
