package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

func TestRouterFindsTheHandler(t *testing.T) {
	router := &Router{}
	handler := func(name string) Handler {
		return func(r *Request) Response {
			return Response{Status: http.StatusOK, Body: []byte(name + strings.Join(r.Args, ",") + string(r.Body))}
		}
	}
	router.Handle(http.MethodPost, "/Servers.Beat/*", handler("beat ")).Handle(http.MethodGet, "/Servers.Beat/all", handler("all"))
	router.Handle(http.MethodGet, "/a/*/c", handler("ac ")).Handle(http.MethodGet, "/a/b/d", handler("abd"))
	for _, c := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/Servers.Beat/i-1", "x", 200, "beat i-1x"},
		{"POST", "/Servers.Beat/", "", 404, ""},
		{"GET", "/Servers.Beat/all", "", 200, "all"},
		{"GET", "/Servers.Beat/i-1", "", 405, ""},
		{"GET", "/a/b/c", "", 200, "ac b"}, // the literal "b" has no child "c", the wildcard has
		{"GET", "/a/b/d", "", 200, "abd"},
		{"GET", "/a/b", "", 404, ""},
		{"GET", "/a//c", "", 404, ""}, // a wildcard matches no empty segment
		{"GET", "/a/b/c/d", "", 404, ""},
		{"POST", "/Servers.Beat/i-2", strings.Repeat("y", MaxBodyBytes+1), 413, ""},
	} {
		w := httptest.NewRecorder()
		router.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.status || c.want != "" && w.Body.String() != c.want {
			t.Errorf("%s %s: %d %.40q, want %d %q", c.method, c.path, w.Code, w.Body, c.status, c.want)
		}
	}
}

func TestResponseIsWritten(t *testing.T) {
	router := (&Router{}).Handle(http.MethodGet, "/x", func(*Request) Response {
		response := ErrorResponse(http.StatusServiceUnavailable, errors.New("not now"))
		response.RetryAfter, response.Location, response.Close = 1500*time.Millisecond, "http://elsewhere/x", true
		return response
	})
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", http.NoBody))
	if got, want := w.Body.String(), `{"fault":"not now"}`; w.Code != http.StatusServiceUnavailable || got != want {
		t.Errorf("%d %s, want %s", w.Code, got, want)
	}
	for name, want := range map[string]string{
		"Content-Type": "application/json",
		"Retry-After":  "1.500",
		"Location":     "http://elsewhere/x",
		"Connection":   "close",
	} {
		if got := w.Header().Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
}

// The keys must not change, as operators' scripts and other releases of firplankctl read them. Without a configuration the version is null,
// as 0 is a version.
func TestStatusKeysAreStable(t *testing.T) {
	got := JSONResponse(http.StatusOK, ControlStatus{PreviousMembers: []string{"a"}, Machines: []ControlMachine{{}}})
	const want = `{"self":"","members":null,"membersBefore":["a"],"version":null,"ballot":"","leaseHolder":"","fullCopies":false,` +
		`"machines":[{"address":"","zone":"","member":false,"voter":false,"linked":false,"heardS":0,"leaving":false,` +
		`"diskFails":false,"ballot":"","copied":false}]}`
	if string(got.Body) != want {
		t.Errorf("got  %s\nwant %s", got.Body, want)
	}
}
