package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

const configJSON = `{"edition":"00000007","caps":{"envelopeBytes":16384,"contentsBytes":67108864,"envelopeS":3,"idleS":15},
 "gates":[],"fleets":[]}`

// Guards against a put whose output does not tell a commit, a conflict and a failure apart.
func TestPutReportsTheOutcome(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(file, []byte(configJSON), 0o600); err != nil {
		t.Fatal(err)
	}
	for status, want := range map[int]string{
		http.StatusOK:                 "edition 00000007, or a higher one, is on a majority",
		http.StatusConflict:           "edition 00000007 is another operator's",
		http.StatusServiceUnavailable: "the control machine answers 503",
	} {
		controlMachine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		var out bytes.Buffer
		err := (&putCommand{File: file, ControlAddr: strings.TrimPrefix(controlMachine.URL, "http://")}).Run(&out)
		controlMachine.Close()
		if err != nil {
			out.WriteString(err.Error())
		}
		if (err == nil) != (status == http.StatusOK) || !strings.Contains(out.String(), want) {
			t.Errorf("%d: %q, want %q", status, out.String(), want)
		}
	}
}

// Scripts parse the output of these commands, and the operators' pages quote it, so that it must not change.
func TestCommandOutputIsStable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.json")
	text := `{"edition":"00000009","gates":[{"depot":"a","regulations":[
		{"name":"r1","routeKind":"safe","targetS":0.2,"precedence":2,"sorting":{"lanePrefix":"/x/"},
		 "dispatch":{"line":"one","deadlineS":3,"attempts":2}},
		{"name":"r2","routeKind":"unsafe","targetS":1,"precedence":1,"sorting":{"lanePrefix":"/y/"},
		 "dispatch":{"line":"one","deadlineS":4,"attempts":1}}]}],"fleets":[{"name":"one"},{"name":"two"}]}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	controlMachine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := configJSON
		if r.URL.Path == "/Control.Status" {
			answer = `{"self":"c1","members":["c1","c2"],"version":9,"ballot":"4.c1","machines":[
				{"address":"c1","zone":"z","member":true,"voter":true,"linked":true,"heardS":0.25,"ballot":"4.c1"},
				{"address":"c3","zone":"y","voter":true,"heardS":-1,"leaving":true}]}`
		}
		_, _ = io.WriteString(w, answer)
	}))
	defer controlMachine.Close()
	addr := strings.TrimPrefix(controlMachine.URL, "http://")
	for _, c := range []struct {
		name    string
		command interface{ Run(out io.Writer) error }
		want    string
		err     error
	}{
		{"check", &checkCommand{File: file}, file + ": edition 00000009, 2 routes, 2 services\nno route leads to two\n", nil},
		{"plan", &planCommand{New: file, ControlAddr: addr}, "edition 00000007 to 00000009: 2 of 0 routes differ\n" +
			"100% moved  a/x/: comes, to one\n100% moved  a/y/: comes, to one\nno route leads to two\n", nil},
		{"explain", &explainCommand{File: file, Host: "a", Path: "/x/1"}, "route r1 of edition 00000009: " +
			"its prefix /x/ is the longest of a that begins the path\nto one (share 1)\n" +
			"kind safe: it may run again: after a failure it goes to the healthiest server that it has not tried\n" +
			"up to 2 servers, 3 s at most, full worth within 0.2 s; rank 0 at a server's admission in place of precedence 2, " +
			"as other routes to the service leave clearly longer time\n", nil},
		{"status", &statusCommand{ControlAddr: addr, Full: true}, "as c1 knows it: version 00000009, written in round 4.c1\nmembers c1 c2\n" +
			"lost members are replaced by nobody that is known here\nall members have the newest value: no\n" +
			"machine                zone         role     voter  newest heard    link   round on disk\n" +
			"c1                     z            member   yes    no     0.2 s    yes    4.c1\n" +
			"c3                     y            stand-by yes    no     never    no       leaves\n", errNotFullyReplicated},
	} {
		var out bytes.Buffer
		if err := c.command.Run(&out); !errors.Is(err, c.err) {
			t.Errorf("%s: %v", c.name, err)
		}
		if got := out.String(); got != c.want {
			t.Errorf("%s: got\n%s\nwant\n%s", c.name, got, c.want)
		}
	}
}

func TestRejectedReadIsAnError(t *testing.T) {
	controlMachine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, configJSON)
	}))
	defer controlMachine.Close()
	var out bytes.Buffer
	err := (&readCommand{ControlAddr: strings.TrimPrefix(controlMachine.URL, "http://")}).Run(&out)
	if err == nil || !strings.Contains(err.Error(), "answers 503") || out.Len() > 0 {
		t.Errorf("%v, printed %q", err, out.String())
	}
}
