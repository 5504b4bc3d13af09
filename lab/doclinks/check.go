package doclinks

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
)

// Page is a Markdown page and the options of its check.
type Page struct {
	Path string // relative to the module's root
	// Unexported enables the check of names of unexported declarations. On pages about settings these look like keys.
	Unexported bool
	// LogLines is the heading of the section whose tables have log lines in their first column, or empty if there is none.
	LogLines string
}

// protocolCalls are the calls of the users' protocol whose names look like a type and its member.
var protocolCalls = map[string]bool{
	"Timetable.Replace": true, "Timetable.Read": true, "Servers.Beat": true, "Servers.Leave": true,
}

// standardPackages are the packages of Go's standard library that the pages mention.
var standardPackages = map[string]bool{"io": true}

var (
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	link         = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	pathLike     = regexp.MustCompile(`^[\w.-]+(/[\w.*-]+)+/?$`)
	goFile       = regexp.MustCompile(`^\w+\.go$`)
	testName     = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	qualified    = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*){1,2}$`)
	exportedName = regexp.MustCompile(`^[A-Z][a-z]+\w*$`)
	identifier   = regexp.MustCompile(`^[a-z]\w*$`)
	hyphenated   = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)+$`)
	braces       = regexp.MustCompile(`^(.*)\{([^}]*)\}(.*)$`)
)

// Check returns the references of a page that don't exist in the module, each with its line number.
func (x *Index) Check(p Page) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(x.root, p.Path))
	if err != nil {
		return nil, errors.Wrap(err, "doclinks")
	}
	var missing []string
	report := func(line int, reference string) {
		missing = append(missing, fmt.Sprintf("%s:%d: %s", p.Path, line+1, reference))
	}
	inLogLines, inCode := false, false
	for n, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "```") {
			inCode = !inCode
		}
		if strings.HasPrefix(line, "#") {
			inLogLines = p.LogLines != "" && strings.TrimLeft(line, "# ") == p.LogLines
		}
		if inCode || strings.HasPrefix(line, "    ") {
			continue
		}
		for _, reference := range x.checkLinks(p.Path, line) {
			report(n, reference)
		}
		if inLogLines {
			for _, reference := range x.checkLogLine(line) {
				report(n, reference)
			}
			continue
		}
		for _, cell := range strings.Split(line, "|") {
			for _, reference := range x.checkCell(cell, p.Unexported) {
				report(n, reference)
			}
		}
	}
	return missing, nil
}

// checkLogLine returns the log lines in the first column of a table row that are not part of any string literal of the module.
func (x *Index) checkLogLine(row string) (missing []string) {
	cells := strings.Split(row, "|")
	if len(cells) < 3 {
		return nil
	}
	for _, span := range codeSpan.FindAllStringSubmatch(cells[1], -1) {
		found := false
		for _, literal := range x.literals {
			found = found || strings.Contains(literal, span[1])
		}
		if !found {
			missing = append(missing, "log line `"+span[1]+"`")
		}
	}
	return missing
}

// checkLinks returns the relative links of a line whose file or heading doesn't exist.
func (x *Index) checkLinks(page, line string) (missing []string) {
	for _, m := range link.FindAllStringSubmatch(line, -1) {
		target, heading, _ := strings.Cut(m[1], "#")
		if strings.Contains(target, "://") {
			continue
		}
		file := page
		if target != "" {
			file = path.Join(path.Dir(page), target)
		}
		text, err := os.ReadFile(filepath.Join(x.root, file))
		if info, statErr := os.Stat(filepath.Join(x.root, file)); statErr == nil && info.IsDir() {
			err = nil
		}
		if err != nil || heading != "" && !hasHeading(string(text), heading) {
			missing = append(missing, "link "+m[1])
		}
	}
	return missing
}

func hasHeading(text, slug string) bool {
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "#") {
			continue
		}
		made := strings.Map(func(r rune) rune {
			switch {
			case r == ' ':
				return '-'
			case isAlphanumeric(r) || r == '-' || r == '_':
				return r
			}
			return -1
		}, strings.ToLower(strings.TrimLeft(line, "# ")))
		if made == slug {
			return true
		}
	}
	return false
}

// checkCell returns the references in code spans of a table cell or a line of text that don't exist. A plain name after a path or
// file is looked up in that folder.
func (x *Index) checkCell(cell string, unexported bool) (missing []string) {
	var context []string // folders of the preceding path or file in this cell
	for _, m := range codeSpan.FindAllStringSubmatch(cell, -1) {
		for _, reference := range expand(strings.TrimSuffix(m[1], "()")) {
			ok, folders := x.resolve(reference, unexported, context)
			if hyphenated.MatchString(reference) && strings.Contains(cell, "timeline") {
				ok = x.timelines[reference]
			}
			if !ok {
				missing = append(missing, "`"+reference+"`")
			}
			if folders != nil {
				context = folders
			}
		}
	}
	return missing
}

// expand replaces a/{b,c} with a/b and a/c.
func expand(reference string) []string {
	m := braces.FindStringSubmatch(reference)
	if m == nil || !strings.Contains(m[1], "/") {
		return []string{reference}
	}
	var all []string
	for _, part := range strings.Split(m[2], ",") {
		all = append(all, m[1]+strings.TrimSpace(part)+m[3])
	}
	return all
}

// resolve reports whether a reference exists or the text is not a reference, and returns the folders that it refers to.
func (x *Index) resolve(reference string, unexported bool, context []string) (ok bool, folders []string) {
	switch {
	case pathLike.MatchString(reference):
		return x.resolvePath(reference)
	case goFile.MatchString(reference):
		return x.files[reference] != nil, x.files[reference]
	case testName.MatchString(reference):
		return x.allNames[reference], nil
	case protocolCalls[reference] || strings.HasSuffix(reference, ".md"):
		return true, nil
	case qualified.MatchString(reference):
		return x.resolveQualified(reference, unexported)
	case exportedName.MatchString(reference):
		return x.allNames[reference] || x.literalWords[reference], nil
	case unexported && identifier.MatchString(reference) && len(context) > 0:
		return x.declaredIn(context, reference) || x.literalWords[reference] || len(x.folders[reference]) > 0, nil
	}
	return true, nil
}

// resolvePath resolves a path of the module, or a path and a name declared in that package, such as mesh/register.Replica.Step.
func (x *Index) resolvePath(reference string) (ok bool, folders []string) {
	reference = strings.TrimSuffix(reference, "/")
	first, _, _ := strings.Cut(reference, "/")
	if !x.roots[first] {
		return true, nil
	}
	if found, err := filepath.Glob(filepath.Join(x.root, reference)); err == nil && len(found) > 0 {
		if strings.HasSuffix(reference, ".go") {
			return true, []string{path.Dir(reference)}
		}
		return true, []string{reference}
	}
	folder, base := path.Split(reference)
	base, name, dotted := strings.Cut(base, ".")
	folder += base
	return dotted && x.declared[folder][name], []string{folder}
}

// resolveQualified resolves package.Name, package.Type.Member and Type.Member. A key of a settings file, such as
// limits.max_attempts, is not a reference, and neither is a type of another module.
func (x *Index) resolveQualified(reference string, unexported bool) (ok bool, folders []string) {
	first, rest, _ := strings.Cut(reference, ".")
	inFolders := x.folders[first]
	exported := exportedName.MatchString(strings.Split(rest, ".")[0])
	switch {
	case inFolders != nil && (exported || unexported):
		return x.declaredIn(inFolders, rest), inFolders
	case x.types[first] && (exported || exportedName.MatchString(first) || unexported):
		return x.allNames[reference], nil
	}
	return !exported || exportedName.MatchString(first) || standardPackages[first], nil // otherwise the package doesn't exist
}

func (x *Index) declaredIn(folders []string, name string) bool {
	for _, folder := range folders {
		if x.declared[folder][name] {
			return true
		}
	}
	return false
}
