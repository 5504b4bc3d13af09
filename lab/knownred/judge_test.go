package main

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const knownList = "m/p.TestRed | go test -run TestRed m/p | the cause | 12\n"

// Parts of the output of go test -json, shortened.
const (
	begin  = `{"Action":"start","Package":"m/p"}` + "\n"
	red    = `{"Action":"run","Package":"m/p","Test":"TestRed"}` + "\n" + `{"Action":"fail","Package":"m/p","Test":"TestRed"}` + "\n"
	other  = `{"Action":"run","Package":"m/p","Test":"TestOther"}` + "\n" + `{"Action":"fail","Package":"m/p","Test":"TestOther"}` + "\n"
	sub    = `{"Action":"run","Package":"m/p","Test":"TestRed/case"}` + "\n" + `{"Action":"fail","Package":"m/p","Test":"TestRed/case"}` + "\n"
	fixed  = `{"Action":"run","Package":"m/p","Test":"TestRed"}` + "\n" + `{"Action":"pass","Package":"m/p","Test":"TestRed"}` + "\n"
	hangs  = `{"Action":"run","Package":"m/p","Test":"TestHangs"}` + "\n"
	race   = `{"Action":"output","Package":"m/p","Test":"TestRed","Output":"WARNING: DATA RACE\n"}` + "\n"
	panics = `{"Action":"output","Package":"m/p","Test":"TestRed","Output":"panic: test timed out after 10m0s\n"}` + "\n"
	fails  = `{"Action":"fail","Package":"m/p"}` + "\n"
	passes = `{"Action":"pass","Package":"m/p"}` + "\n"
	build  = `{"ImportPath":"m/q [m/q.test]","Action":"build-fail"}` + "\n" +
		`{"Action":"start","Package":"m/q"}` + "\n" + `{"Action":"fail","Package":"m/q","FailedBuild":"m/q [m/q.test]"}` + "\n"
)

func TestOnlyListedTestsAreExcused(t *testing.T) {
	for name, c := range map[string]struct {
		events string
		status int
		faults int
	}{
		"a listed test fails":                      {begin + red + fails, 1, 0},
		"with its subtest":                         {begin + sub + red + fails, 1, 0},
		"a listed test passes":                     {begin + fixed + passes, 0, 0},
		"another fails":                            {begin + fixed + other + fails, 1, 1},
		"another fails beside it":                  {begin + red + other + fails, 1, 1},
		"another never ends":                       {begin + red + hangs + fails, 1, 1},
		"a data race":                              {begin + red + race + fails, 1, 1},
		"a timeout":                                {begin + red + panics + fails, 1, 1},
		"the package never ends":                   {begin + red, 1, 1},
		"the package fails without a test":         {begin + fixed + fails, 1, 1},
		"a build fails":                            {begin + red + fails + build, 1, 3}, // build event, package event, no failed test
		"a listed test is not run":                 {begin + passes, 0, 1},
		"nothing is run":                           {"", 0, 2},
		"the command fails without a failed event": {begin + fixed + passes, 2, 1},
	} {
		known, err := parseList(knownList)
		if err != nil {
			t.Fatal(err)
		}
		results, err := readResults(strings.NewReader(c.events))
		if err != nil {
			t.Fatal(err)
		}
		if faults := unexcusedFaults(known, results, c.status); len(faults) != c.faults {
			t.Errorf("%s: %q, want %d faults", name, faults, c.faults)
		}
	}
}

// Entries are matched by package and name: a test of the same name in another package is not excused.
func TestTestOfSameNameInOtherPackageIsNotExcused(t *testing.T) {
	known, err := parseList("m/other.TestRed | go test m/other | the cause | 12\n")
	if err != nil {
		t.Fatal(err)
	}
	results, err := readResults(strings.NewReader(begin + red + fails))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"m/other.TestRed is listed, but not run", "m/p.TestRed fails"}
	if faults := unexcusedFaults(known, results, 1); !reflect.DeepEqual(faults, want) {
		t.Errorf("%q", faults)
	}
}

// An entry that does not name a Go test excuses no failure, even if its name contains that of a test.
func TestEntryWithoutGoTestExcusesNothing(t *testing.T) {
	known, err := parseList("review TestRed | review/1/run.sh, no seed | exits with 1 | 12\n")
	if err != nil {
		t.Fatal(err)
	}
	results, err := readResults(strings.NewReader(begin + red + fails))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"m/p.TestRed fails"}
	if faults := unexcusedFaults(known, results, 1); !reflect.DeepEqual(faults, want) {
		t.Errorf("%q", faults)
	}
}

func TestParseListRejectsMalformedEntries(t *testing.T) {
	line := func(name string) string { return name + " | the command, seed 4 | what was seen | 12\n" }
	for text, good := range map[string]bool{
		"":        true,
		"\n":      true,
		knownList: true,
		line("m/p.TestA") + line("m/p.TestB") + line("m/p.TestC") + line("m/q.TestA"): true,
		line("m/p.TestA") + line("m/p.TestA"):                                         false,
		line("review TWICE") + line("review CONFIG"):                                  true,
		line("review TWICE") + line("review TWICE"):                                   false,
		line("m/p.TestA/sub"):                                                         false,
		line("m/p.everything"):                                                        false,
		line("TestA"):                                                                 false,
		line("p.TestA"):                                                               false,
		line("Everything"):                                                            false,
		"m/p.TestA | the command | the cause\n":                                       false,
		"m/p.TestA |  | what was seen | 12\n":                                         false,
		"m/p.TestA | the command |  | 12\n":                                           false,
		"m/p.TestA | the command | seen | an issue":                                   false,
		"# m/p.TestA\n":                                                               false,
	} {
		if _, err := parseList(text); (err == nil) != good {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestReadResultsRejectsNonEvents(t *testing.T) {
	if _, err := readResults(strings.NewReader("FAIL m/p\n")); err == nil {
		t.Error("no error for a line that is not an event")
	}
}

func TestRunPrintsListAndUnexcusedFailures(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	listPath := write("list", knownList)
	var out bytes.Buffer
	if err := run([]string{listPath, write("red", begin+red+fails), "1"}, &out); err != nil {
		t.Error(err)
	}
	if !strings.Contains(out.String(), "known red: m/p.TestRed | go test -run TestRed m/p | the cause | 12 (fails)\n") {
		t.Errorf("%q", out.String())
	}
	if err := run([]string{listPath, write("other", begin+red+other+fails), "1"}, &out); err == nil {
		t.Error("a test that is not listed is excused")
	}
	if !strings.Contains(out.String(), "not excused: m/p.TestOther fails\n") {
		t.Errorf("%q", out.String())
	}
}
