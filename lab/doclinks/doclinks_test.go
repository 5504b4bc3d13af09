package doclinks

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// strictPages are the pages on which names of unexported declarations are checked as well.
var strictPages = map[string]bool{
	"CONTRIBUTING.md": true, "README.md": true, "docs/ARCHITECTURE.md": true, "docs/GLOSSARY.md": true,
	"docs/design/mesh.md": true, "docs/design/control-safety.md": true, "docs/design/control-safety-1.md": true,
	"docs/design/control-safety-2.md": true, "docs/design/control-safety-3.md": true, "docs/design/control-safety-4.md": true,
}

// pages returns the pages that describe the present state. Measurements, the roadmap and the changelog are left out, because they
// describe the past with the names of that time.
func pages(t *testing.T, root string) (all []Page) {
	t.Helper()
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md", "docs/operators/*.md", "docs/incidents/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range found {
			name, err := filepath.Rel(root, file)
			if err != nil {
				t.Fatal(err)
			}
			if name == "CHANGELOG.md" || name == "docs/ROADMAP.md" {
				continue
			}
			p := Page{Path: name, Unexported: strictPages[name]}
			if name == "docs/operators/mesh.md" {
				p.LogLines = "Log lines"
			}
			all = append(all, p)
		}
	}
	return all
}

func TestPagesReferenceExistingNames(t *testing.T) {
	x, err := Load("../..")
	if err != nil {
		t.Fatal(err)
	}
	all := pages(t, "../..")
	if len(all) < 30 {
		t.Errorf("%d pages found, want 30 or more", len(all))
	}
	for _, p := range all {
		missing, err := x.Check(p)
		if err != nil {
			t.Fatal(err)
		}
		for _, reference := range missing {
			t.Error(reference)
		}
	}
}

// plantedModule is a sample module with a page that has valid and invalid references.
var plantedModule = map[string]string{
	"mesh/lease/lease.go": `package lease
const message = "the lease was lost"
const setting = "syncS"
type Lease struct{ Term int }
func (l *Lease) Step() {}
func vote() {}
`,
	"mesh/lease/lease_test.go":      "package lease\nfunc TestThere() {}\n",
	"mesh/lease/testdata/timelines": "# What holds.\nholder-killed\nat  a\n",
	"docs/other.md":                 "# What it is\n",
	"docs/page.md": "# Page\n" +
		"There: `mesh/lease`, `mesh/{lease}`, `mesh/lease/lease.go`, `lease.go` `vote`, `syncS`, `mesh/lease.Lease.Step`,\n" +
		"`lease.Lease`, `Lease.Term`, `TestThere`, `Step`, `target/program`, `Try-Id`, `Servers.Beat`, `two words`,\n" +
		"[other](other.md#what-it-is).\n" +
		"Not: `mesh/gone`, `left.Gone`, `mesh/{lease,left}`, `gone.go`, `mesh/lease.Gone`,\n" +
		"`lease.Gone`, `Lease.Gone`, `TestGone`, `Gone`.\n" +
		"`lease.go` `gone` | `gone` | `no-timeline` timelines `holder-killed`, `holder-gone` | `hyphenated-word`\n" +
		"[gone](gone.md), [no heading](other.md#gone)\n" +
		"## Lines\n" +
		"| `the lease was lost` | `not looked at` |\n" +
		"| `the lease was won` | |\n",
}

// writeFiles writes files below a folder.
func writeFiles(t *testing.T, root string, files map[string]string) {
	t.Helper()
	for name, text := range files {
		file := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// Check finds exactly the invalid references of the sample module.
func TestCheckFindsMissingReferences(t *testing.T) {
	root := t.TempDir()
	writeFiles(t, root, plantedModule)
	x, err := Load(root)
	if err != nil {
		t.Fatal(err)
	}
	got, err := x.Check(Page{Path: "docs/page.md", Unexported: true, LogLines: "Lines"})
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, m := range []string{
		"5: `mesh/gone`", "5: `left.Gone`", "5: `mesh/left`", "5: `gone.go`", "5: `mesh/lease.Gone`", "6: `lease.Gone`", "6: `Lease.Gone`",
		"6: `TestGone`", "6: `Gone`", "7: `gone`", "7: `no-timeline`", "7: `holder-gone`", "8: link gone.md", "8: link other.md#gone",
		"11: log line `the lease was won`",
	} {
		want = append(want, "docs/page.md:"+m)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
