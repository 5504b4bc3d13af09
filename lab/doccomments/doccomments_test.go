package doccomments

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func TestEachExportedDeclarationHasADocComment(t *testing.T) {
	missing, err := Missing("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, place := range missing {
		t.Error(place)
	}
}

// Missing finds exactly the undocumented declarations of a sample file.
func TestMissingFindsUndocumentedDeclarations(t *testing.T) {
	source := `package planted

type Bare struct{}

// Told is told of.
type Told struct{}

func (*Told) Method() {}

type hidden struct{}

func (hidden) Method() {}

func Function() {}

// A group.
const (
	InGroup = 1
)

var (
	// Above is told of.
	Above int
	Beside int // is told of
	Nothing, other int
)
`
	dir := t.TempDir()
	path := filepath.Join(dir, "planted.go")
	if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Missing(dir)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{path + ":3:6: Bare", path + ":8:14: Method", path + ":14:6: Function", path + ":25:2: Nothing"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("found %q, want %q", got, want)
	}
}
