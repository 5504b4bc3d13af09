package controlplane

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// freePort returns a free loopback port.
func freePort(t *testing.T) int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// callOperatorAPI makes an operator's call. Status 0 means that there was no response.
func callOperatorAPI(t *testing.T, control, method, path, body string) (status int, response string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+control+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// Guards against a first configuration of the version 00000000 that is acknowledged and cannot be read back, and against a second content
// under that version that is acknowledged as well: both were taken for a version whose record had been dropped.
func TestRunServesTheLowestVersion(t *testing.T) {
	testRunServesOperators(t, `{"edition":"00000000","gates":[],"fleets":[]}`)
}

// The only control machine commits a configuration, returns it, rejects another under the same version, and returns from Run when its
// context ends; TestMain checks that no goroutine is left.
func TestRunServesOperatorsAndEnds(t *testing.T) {
	testRunServesOperators(t, `{"edition":"0000000a","gates":[],"fleets":[]}`)
}

func testRunServesOperators(t *testing.T, configuration string) {
	t.Helper()
	settings := newSoleMachine(t).settings
	control := settings.Addresses.Control
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, settings, kitlog.NewNopLogger()) }()
	call := func(method, path, body string) (int, string) { return callOperatorAPI(t, control, method, path, body) }
	status, response := 0, ""
	for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, response = call(http.MethodPost, "/Timetable.Replace", configuration)
	}
	if status != http.StatusOK {
		t.Fatalf("the configuration is not committed: %d %s", status, response)
	}
	if status, response = call(http.MethodGet, "/Timetable.Read", ""); status != http.StatusOK || response != configuration {
		t.Errorf("read back: %d %s", status, response)
	}
	if status, response = call(http.MethodPost, "/Timetable.Replace", configuration+" "); status != http.StatusConflict {
		t.Errorf("write of another content under the same version: %d %s", status, response)
	}
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Run has not returned 10 s after its context ended")
	}
}
