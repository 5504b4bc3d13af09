// Package broker connects contracts to the program: it loads them from files, is the exchange's gate, and turns their decisions
// into responses. Package contract makes the decisions.
//
// load.go loads contracts and locates errors in their files, gate.go asks for a decision on each request. Start reading at Load
// and New.
package broker

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"firplank/contract"
	"firplank/internal/core"
	"firplank/internal/options"
)

// file is a file of contracts.
type file struct {
	Teams []team `toml:"team"`
}

// team is the contract of one team.
type team struct {
	Name       string   `toml:"name"`
	Tokens     []string `toml:"token_sha256"`
	Tenants    []string `toml:"tenants"`
	Listeners  []string `toml:"listeners"`
	Worth      float64  `toml:"worth_per_s"`
	Burst      float64  `toml:"burst"`
	Guaranteed float64  `toml:"guaranteed"`
	MaxShare   float64  `toml:"most"`
	Over       string   `toml:"over"`
	MaxOpen    int      `toml:"most_open"`
	Retries    struct {
		Share    *float64 `toml:"share"`
		Floor    *float64 `toml:"floor_per_s"`
		Window   *float64 `toml:"window_s"`
		Identity string   `toml:"identity"`
	} `toml:"retries"`
	Classes []struct {
		Name     string `toml:"name"`
		Priority int    `toml:"priority"`
		Degrade  string `toml:"degrade"`
	} `toml:"class"`
}

// The retry budget of a contract that has none: as in well-known proxies, a fifth of the first attempts plus one a second, which matters at
// low rates.
const (
	defaultRetryShare  = 0.2
	defaultRetryFloor  = 1.0
	defaultRetryWindow = 10 * time.Second
	maxRetryWindowS    = 1e6 // in seconds
)

// overPolicies are the values of the key over.
var overPolicies = map[string]contract.OverPolicy{
	"":        contract.Refuse,
	"refuse":  contract.Refuse,
	"borrow":  contract.Borrow,
	"degrade": contract.Degrade,
}

// retryIdentities are the values of the key retries.identity.
var retryIdentities = map[string]contract.RetryIdentity{
	"":       contract.ByIdempotencyKey,
	"key":    contract.ByIdempotencyKey,
	"object": contract.ByObject,
}

// Bounds of the files of one version.
const (
	maxFiles      = 10_000
	maxTotalBytes = 64 << 20
)

// source is the location of a team's contract.
type source struct {
	name  string
	lines map[string]int // by key; "" is the line at which the team begins
}

// Load reads all files of a folder that end in .toml, in the order of their names, and compiles them to one version. An error joins all
// faults, each with its file and line.
func Load(dir string, d contract.Deployment, catalog *core.Catalog) (*contract.Set, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, errors.Wrap(err, "contracts")
	}
	slices.Sort(names)
	if len(names) == 0 || len(names) > maxFiles {
		return nil, errors.Errorf("contracts: %s has %d files that end in .toml: want 1 to %d", dir, len(names), maxFiles)
	}
	var l loader
	l.catalog = catalog
	size := 0
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "contracts")
		}
		if size += len(text); size > maxTotalBytes {
			return nil, errors.Errorf("contracts: more than %d bytes in %s", maxTotalBytes, dir)
		}
		l.readFile(name, text)
	}
	set, err := contract.Compile(d, l.terms)
	var faults contract.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			l.addFault(f.Team, f.Key, "%s", f.Text)
		}
		err = nil
	}
	if err = errors.Join(append(l.errs, err)...); err != nil {
		return nil, errors.Wrap(err, "contracts")
	}
	return set, nil
}

// loader collects the contracts of all files, and their faults.
type loader struct {
	catalog *core.Catalog
	terms   []contract.Terms
	sources []source
	errs    []error
}

// addFault records a fault at a key of a team; a negative team means that the fault concerns all of them.
func (l *loader) addFault(team int, key, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if team < 0 {
		l.errs = append(l.errs, errors.New(key+": "+text))
		return
	}
	s := &l.sources[team]
	line, ok := s.lines[key]
	if !ok {
		line = s.lines[""]
	}
	l.errs = append(l.errs, errors.New(fmt.Sprintf("%s:%d: team %q: %s: %s", s.name, line, l.terms[team].Team, key, text)))
}

// readFile adds the contracts of a file.
func (l *loader) readFile(name string, text []byte) {
	var f file
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&f); err != nil {
		l.errs = append(l.errs, options.WithPosition(name, err))
		return
	}
	lines := keyLines(text)
	for i := range f.Teams {
		s := source{name: name, lines: map[string]int{}}
		if i < len(lines) {
			s.lines = lines[i]
		}
		l.sources = append(l.sources, s)
		l.terms = append(l.terms, contract.Terms{Team: f.Teams[i].Name})
		l.terms[len(l.terms)-1] = l.convert(len(l.terms)-1, &f.Teams[i])
	}
}

// convert checks a team and returns its terms.
func (l *loader) convert(i int, t *team) contract.Terms {
	terms := contract.Terms{
		Team:            t.Name,
		Tenants:         t.Tenants,
		Listeners:       t.Listeners,
		WorthPerSecond:  t.Worth,
		Burst:           t.Burst,
		GuaranteedShare: t.Guaranteed,
		MaxShare:        t.MaxShare,
		MaxOpen:         t.MaxOpen,
		Retries: contract.RetryTerms{
			Share:          valueOr(t.Retries.Share, defaultRetryShare),
			FloorPerSecond: valueOr(t.Retries.Floor, defaultRetryFloor),
			Window:         defaultRetryWindow,
		},
	}
	if w := t.Retries.Window; w != nil {
		terms.Retries.Window = time.Duration(max(-1, min(*w, maxRetryWindowS)) * float64(time.Second))
	}
	var ok bool
	if terms.OverPolicy, ok = overPolicies[t.Over]; !ok {
		l.addFault(i, "over", "%q: want refuse, borrow or degrade", t.Over)
	}
	if terms.Retries.Identity, ok = retryIdentities[t.Retries.Identity]; !ok {
		l.addFault(i, "retries.identity", "%q: want key or object", t.Retries.Identity)
	}
	terms.Tokens = l.digests(i, t)
	terms.Classes = l.classes(i, t)
	return terms
}

// digests reads the hashes of a team's tokens.
func (l *loader) digests(i int, t *team) (digests []contract.Digest) {
	for _, text := range t.Tokens {
		var d contract.Digest
		b, err := hex.DecodeString(text)
		if err != nil || len(b) != len(d) {
			l.addFault(i, "token_sha256", "not a SHA-256 in hexadecimal") // without the text, which may be the token itself
			continue
		}
		copy(d[:], b)
		digests = append(digests, d)
	}
	return digests
}

// classes reads the classes of a team. If all of them are faulty it returns one, as an empty list would be reported as a further fault.
func (l *loader) classes(i int, t *team) (classes []contract.ClassTerms) {
	for _, c := range t.Classes {
		terms := contract.ClassTerms{Priority: c.Priority, DegradeTo: -1}
		var ok bool
		if terms.Class, ok = l.catalog.Class(c.Name); !ok {
			l.addFault(i, "class", "the settings have no class %q", c.Name)
			continue
		}
		if c.Degrade != "" {
			if terms.DegradeTo, ok = l.catalog.Class(c.Degrade); !ok {
				l.addFault(i, "degrade", "the settings have no class %q", c.Degrade)
				continue
			}
		}
		classes = append(classes, terms)
	}
	if len(t.Classes) > 0 && len(classes) == 0 {
		return []contract.ClassTerms{{DegradeTo: -1}}
	}
	return classes
}

// valueOr returns the value of an optional key.
func valueOr(v *float64, fallback float64) float64 {
	if v == nil {
		return fallback
	}
	return *v
}

// keyLines returns, for each team of a valid file, the line of each of its keys. For a key that occurs more than once, as those of classes
// do, it is the first line.
func keyLines(text []byte) (teams []map[string]int) {
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		line := 0
		for it := e.Key(); it.Next(); {
			if line == 0 {
				line = p.Shape(it.Node().Raw).Start.Line
			}
			path = append(path, string(it.Node().Data))
		}
		if len(path) == 0 {
			continue
		}
		switch e.Kind {
		case unstable.ArrayTable, unstable.Table:
			if path[0] != "team" {
				prefix = "-"
				continue
			}
			if len(path) == 1 && e.Kind == unstable.ArrayTable {
				teams = append(teams, map[string]int{"": line})
			}
			prefix = strings.Join(path[1:], ".")
			recordLine(teams, prefix, line)
		case unstable.KeyValue:
			key := strings.Join(path, ".")
			if prefix == "class" {
				recordLine(teams, key, line) // contract.Fault names keys of a class without a prefix
			} else if prefix != "" {
				key = prefix + "." + key
			}
			if prefix != "class" {
				recordLine(teams, key, line)
			}
		}
	}
	return teams
}

// recordLine sets the line of a key of the last team, unless it has one.
func recordLine(teams []map[string]int, key string, line int) {
	if len(teams) == 0 || key == "" {
		return
	}
	if t := teams[len(teams)-1]; t[key] == 0 {
		t[key] = line
	}
}
