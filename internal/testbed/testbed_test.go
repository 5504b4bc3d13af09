package testbed

import (
	"os/exec"
	"strings"
	"testing"
)

// Programs must not import the package, only tests.
func TestImportedByTestsOnly(t *testing.T) {
	const importers = `{{range .Imports}}{{if eq . "firplank/internal/testbed"}}{{$.ImportPath}} {{end}}{{end}}`
	out, err := exec.Command("go", "list", "-f", importers, "firplank/...").CombinedOutput()
	if err != nil {
		t.Fatalf("go list: %v\n%s", err, out)
	}
	if got := strings.Fields(string(out)); len(got) > 0 {
		t.Errorf("imported outside of tests by %q", got)
	}
	const tests = `{{range .XTestImports}}{{.}} {{end}}{{range .TestImports}}{{.}} {{end}}`
	out, err = exec.Command("go", "list", "-f", tests, "firplank/internal/sidecar").Output()
	if err != nil || !strings.Contains(string(out), "firplank/internal/testbed") {
		t.Errorf("control query found no import in the sidecar tests: %v, %s", err, out)
	}
}
