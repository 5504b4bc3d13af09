package config

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"firplank/mesh/configversion"
)

// valid is a configuration that tests use as it is or with replacements.
const valid = `{"edition":"0000000c","caps":{"envelopeBytes":16384},
"gates":[{"depot":"A.example","regulations":[
 {"name":"r1","routeKind":"safe","targetS":0.8,"precedence":2,"sorting":{"lanePrefix":"/x/"},
  "dispatch":{"line":"one","deadlineS":3,"attempts":2}},
 {"name":"r2","routeKind":"unsafe","targetS":1,"precedence":1,"sorting":{"lanePrefix":"/x/y/"},
  "dispatch":{"split":[{"line":"one","share":90},{"line":"two","share":10}],"deadlineS":4,"attempts":2}},
 {"name":"r3","routeKind":"safe","targetS":0.2,"precedence":1,"sorting":{"lanePrefix":"/check/"},
  "dispatch":{"line":"one","deadlineS":0.6,"attempts":2}}]}],
"fleets":[{"name":"one","healthPath":"/h","maxConns":9},{"name":"two","healthPath":"/h","maxConns":9}]}`

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	for _, request := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "r1"}, {"A.Example:80", "/x/y/z/1", "r2"}, {"a.example", "/x/yy", "r1"}, {"a.example", "/x", ""},
		{"a.example", "/", ""}, {"b.example", "/x/1", ""}, {"a.example", "/check/", "r3"},
	} {
		got := ""
		if r := c.Match(request.host, request.path); r != nil {
			got = r.Name
		}
		if got != request.want {
			t.Errorf("%s%s: %q, want %q", request.host, request.path, got, request.want)
		}
	}
	r := c.Match("a.example", "/x/y/")
	if r.ChooseService(0.89) != "one" || r.ChooseService(0.91) != "two" || !r.Allows("two") || r.Allows("three") || r.Idempotent() {
		t.Error("the split does not choose by weight")
	}
	if urgent := c.Match("a.example", "/check/"); urgent.Rank != 0 || r.Rank != 1 {
		t.Errorf("ranks %d and %d", urgent.Rank, r.Rank)
	}
}

func TestParseErrorsNameThePlace(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"truncated", valid, valid[:len(valid)/2], "line 6"},
		{"two configurations", valid, valid + valid, "line 9: something follows"},
		{
			"unknown service", `"line":"one","deadlineS":3`, `"line":"six","deadlineS":3`,
			`gates[0].regulations[0]: dispatch: unknown service "six"`,
		},
		{"two routes with one prefix", `"/x/y/"`, `"/x/"`, "a.example/x/ is there twice"},
		{"no time-out", `"deadlineS":3`, `"deadlineS":0`, "dispatch: deadlineS: cannot be blank"},
		{"no attempts", `"deadlineS":3,"attempts":2`, `"deadlineS":3,"attempts":0`, "dispatch: attempts: cannot be blank"},
		{"no weight", `"share":90},{"line":"two","share":10`, `"share":0},{"line":"two","share":0`, "no share above 0"},
		{"a prefix without its last slash", `"/x/"`, `"/x"`, "lanePrefix"},
		{"a version that is too short", `0000000c`, `c`, "edition"},
		{"an unknown kind", `"routeKind":"safe","targetS":0.8`, `"routeKind":"odd","targetS":0.8`, "routeKind"},
		{"a string for a number", `"deadlineS":3`, `"deadlineS":"3"`, "line 4"},
		{"two services of one name", `"name":"two"`, `"name":"one"`, `"one" is there twice`},
	} {
		_, err := Parse([]byte(strings.Replace(valid, c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// Callers can distinguish the errors of Parse by type, and read where the error is.
func TestParseErrorsAreTyped(t *testing.T) {
	parse := func(old, replacement string) error {
		_, err := Parse([]byte(strings.Replace(valid, old, replacement, 1)))
		return err
	}
	var syntax *SyntaxError
	err := parse(`"deadlineS":3`, `"deadlineS":"3"`)
	if !errors.As(err, &syntax) || syntax.Line != 4 || !strings.Contains(syntax.Field, "deadlineS") {
		t.Errorf("a string for a number: %v", err)
	}
	for want, change := range map[error][2]string{
		ErrUnknownService: {`"line":"one","deadlineS":3`, `"line":"six","deadlineS":3`},
		ErrDuplicate:      {`"/x/y/"`, `"/x/"`},
		ErrMissing:        {`"A.example"`, `""`},
	} {
		var invalid *InvalidError
		err := parse(change[0], change[1])
		if !errors.Is(err, want) || !errors.As(err, &invalid) || !strings.HasPrefix(invalid.Path, "gates[0]") {
			t.Errorf("%v: %v", want, err)
		}
	}
	if _, err := Parse(make([]byte, MaxBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a text beyond the bound: %v", err)
	}
}

func TestDiffReportsMovedShares(t *testing.T) {
	from, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(
		`"share":90`, `"share":50`, `"share":10`, `"share":50`, `"deadlineS":3`, `"deadlineS":2.5`, "/check/", "/x/z/",
	).Replace(valid)
	to, err := Parse([]byte(changed))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, c := range Diff(from, to) {
		lines = append(lines, fmt.Sprintf("%s%s %.2f %s", c.Host, c.Prefix, c.MovedShare, c.Description))
	}
	want := `a.example/check/ 1.00 goes
a.example/x/ 0.00 time-out in s 2.5, was 3
a.example/x/y/ 0.40 to one 50%, two 50%, was one 90%, two 10%
a.example/x/z/ 0.00 comes, to one; until now its requests go by /x/ to one`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestUnpackReturnsThePackedText(t *testing.T) {
	packed := Pack([]byte(valid))
	if text, err := Unpack(packed); err != nil || string(text) != valid || len(packed) > len(valid)/2 {
		t.Errorf("%d bytes packed, %v", len(packed), err)
	}
	if _, err := Unpack(Pack(bytes.Repeat([]byte{' '}, MaxBytes+1))); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a text beyond the bound: %v", err)
	}
}

// Sidecars put in force exactly what a control machine has accepted.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if err != nil {
			return
		}
		c.Match("a.example", "/x/y/1")
		committed, err := ParseCommitted(text)
		if err != nil || !reflect.DeepEqual(committed.Document, c.Document) || len(Diff(c, committed)) > 0 {
			t.Fatalf("sidecars read %q differently: %v", text, err)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		var rules []string
		for i := range n {
			rules = append(rules, fmt.Sprintf(`{"name":"r%d","routeKind":"safe","targetS":1,"precedence":1,
				"sorting":{"lanePrefix":"/p%d/"},"dispatch":{"line":"one","deadlineS":3,"attempts":2}}`, i, i))
		}
		text := `{"edition":"00000001","gates":[{"depot":"a","regulations":[` + strings.Join(rules, ",") + `]}],"fleets":[{"name":"one"}]}`
		cfg, err := Parse([]byte(text))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if cfg.Match("a", "/p7/some/longer/path") == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// The latency target of a route with the highest precedence doesn't make other routes urgent, however long it is.
func TestHighestPrecedenceDoesNotMakeOthersUrgent(t *testing.T) {
	c, err := Parse([]byte(strings.Replace(valid, `"targetS":1,"precedence":1`, `"targetS":9,"precedence":0`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if r1, r2 := c.Match("a.example", "/x/"), c.Match("a.example", "/x/y/"); r1.Rank != 2 || r2.Rank != 0 {
		t.Errorf("ranks %d and %d", r1.Rank, r2.Rank)
	}
}

func TestSplitsAreValidated(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"a negative weight", `"share":10`, `"share":-10`, "dispatch.split[1].share: -10"},
		{"a service and a split", `"dispatch":{"split"`, `"dispatch":{"line":"one","split"`, "both line and split"},
	} {
		if _, err := Parse([]byte(strings.Replace(valid, c.old, c.replacement, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

func TestRoutesAreBounded(t *testing.T) {
	text := func(n int) []byte {
		routes := make([]string, n)
		for i := range routes {
			routes[i] = fmt.Sprintf(`{"routeKind":"safe","sorting":{"lanePrefix":"/p%d/"},"dispatch":{"line":"one","deadlineS":3,"attempts":2}}`, i)
		}
		return []byte(`{"edition":"00000001","gates":[{"depot":"a","regulations":[` + strings.Join(routes, ",") + `]}],
			"fleets":[{"name":"one"}]}`)
	}
	if c, err := Parse(text(MaxRoutes)); err != nil || c.RouteCount() != MaxRoutes {
		t.Errorf("%v", err)
	}
	if _, err := Parse(text(MaxRoutes + 1)); err == nil {
		t.Error("a configuration with MaxRoutes+1 routes is accepted")
	}
}

func TestTrailingDataIsRejected(t *testing.T) {
	const good = `{"edition":"00000001","gates":[],"fleets":[]}`
	for text, want := range map[string]bool{
		good: true, good + " \n": true,
		good + "}": false, good + "]" + good: false, good + "} " + good: false, good + good: false, good + "x": false,
	} {
		if _, err := Parse([]byte(text)); (err == nil) != want {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// An order that readers of JSON understand differently, or that lacks a list, was acknowledged: one with its "gates" twice removed every
// route, and one with two versions was in force under the last.
func TestAmbiguousConfigIsRejected(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"gates twice", `"fleets":`, `"gates":[],"fleets":`, "/gates: jsontext: duplicate"},
		{"two versions", `"caps":`, `"edition":"0000000d","caps":`, "/edition: jsontext: duplicate"},
		{"two versions that differ in case", `"caps":`, `"Edition":"0000000d","caps":`, "duplicate"},
		{"fleets twice", `"gates":`, `"fleets":[],"gates":`, "/fleets: jsontext: duplicate"},
		{"caps twice", `"gates":`, `"caps":{},"gates":`, "/caps: jsontext: duplicate"},
		{"a host's routes twice", `"depot":"A.example"`, `"depot":"A.example","regulations":[]`, "/gates/0/regulations: jsontext: duplicate"},
		{"two services of a route", `"deadlineS":3`, `"line":"two","deadlineS":3`, "/gates/0/regulations/0/dispatch/line: jsontext: duplicate"},
		{"two kinds", `"routeKind":"unsafe"`, `"routeKind":"unsafe","routeKind":"safe"`, "/gates/0/regulations/1/routeKind: jsontext: duplicate"},
		{"an unknown name twice", `"caps":`, `"later":1,"later":2,"caps":`, "/later: jsontext: duplicate"},
		{"gates are null", `"gates":[`, `"gates":null,"unread":[`, "gates: is missing"},
		{"the routes of a host are null", `"regulations":[`, `"regulations":null,"unread":[`, "gates[0].regulations: is missing"},
		{"a precedence is null", `"precedence":2`, `"precedence":null`, "line 3"},
		{"caps are null", `"caps":{"envelopeBytes":16384}`, `"caps":null`, "/caps"},
		{"no gates", `"gates":[`, `"unread":[`, "gates: is missing"},
		{"no fleets", `"fleets":[`, `"unread":[`, "fleets: is missing"},
		{"a host without routes", `"regulations":[`, `"unread":[`, "gates[0].regulations: is missing"},
		{"a byte that is not UTF-8", "A.example", "\xff.example", "UTF-8"},
		{"half a surrogate pair", "A.example", `\ud800.example`, "surrogate"},
	} {
		_, err := Parse([]byte(strings.Replace(valid, c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// A configuration that an earlier release has acknowledged stays in force after an update, read as that release read it.
func TestCommittedConfigStaysReadable(t *testing.T) {
	for name, text := range map[string]string{
		"as it was sent":      valid,
		"something behind it": valid + `]{"edition":"0000000d"`,
		"two versions":        strings.Replace(valid, `"edition":`, `"edition":"0000000b","edition":`, 1),
		"no caps":             strings.Replace(valid, `"caps":{"envelopeBytes":16384},`, "", 1),
	} {
		c, err := ParseCommitted([]byte(text))
		if err != nil || c.Version != configversion.Of(0xc) || c.RouteCount() != 3 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := ParseCommitted([]byte(valid[:len(valid)-1])); err == nil {
		t.Error("a text that is cut short is accepted")
	}
	if _, err := ParseCommitted(make([]byte, MaxBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a text beyond the bound: %v", err)
	}
}
