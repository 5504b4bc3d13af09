package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"

	"firplank/mesh/bootstrap"
)

// soleMachine is the only control machine of a deployment, run in this process with a data folder of its own.
type soleMachine struct {
	t        *testing.T
	settings *bootstrap.Settings
	stop     context.CancelFunc
	ended    chan error
}

func newSoleMachine(t *testing.T) *soleMachine {
	t.Helper()
	folder := t.TempDir() + "/data"
	control := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	settings := &bootstrap.Settings{IP: "127.0.0.1", SparePorts: []int{freePort(t)}, DataPath: &folder, FirstStart: true}
	settings.Bounds = bootstrap.DefaultBounds()
	settings.Addresses.Control = control
	settings.SeedNodes = []string{control}
	settings.Bounds.RejoinTime, settings.Bounds.Grace = 2*time.Second, 600*time.Millisecond
	return &soleMachine{t: t, settings: settings}
}

func (m *soleMachine) start() {
	ctx, stop := context.WithCancel(m.t.Context())
	m.stop, m.ended = stop, make(chan error, 1)
	settings := *m.settings
	go func() { m.ended <- Run(ctx, &settings, kitlog.NewNopLogger()) }()
	m.settings.FirstStart = false
}

func (m *soleMachine) end() {
	m.stop()
	if err := <-m.ended; err != nil {
		m.t.Error(err)
	}
}

// callUntil repeats a call until its response has the wanted status. It fails the test after 10 s, or on a 404 that is not wanted.
func (m *soleMachine) callUntil(status int, method, path, body string) (response string) {
	m.t.Helper()
	lastStatus := 0
	for deadline := time.Now().Add(10 * time.Second); lastStatus != status && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if lastStatus, response = callOperatorAPI(m.t, m.settings.Addresses.Control, method, path, body); lastStatus == http.StatusNotFound {
			break
		}
	}
	if lastStatus != status {
		m.t.Fatalf("%s %s: %d %s, want %d", method, path, lastStatus, response, status)
	}
	return response
}

const (
	rolloutConfig    = `{"edition":"0000000a","gates":[],"fleets":[{"name":"huvo11a","healthPath":"/health","maxConns":9,"protocol":"h1"}]}`
	rolloutOrderBody = `{"line":"huvo11a","toEdition":"v2","overS":12}`
)

func TestRolloutOrderBeforeTheFirstConfigurationIsRetryable(t *testing.T) {
	m := newSoleMachine(t)
	m.start()
	defer m.end()
	m.callUntil(http.StatusServiceUnavailable, http.MethodPost, "/Rollouts.Start", rolloutOrderBody)
	m.callUntil(http.StatusOK, http.MethodPost, "/Timetable.Replace", rolloutConfig)
	m.callUntil(http.StatusOK, http.MethodPost, "/Rollouts.Start", rolloutOrderBody)
}

func TestCommittedRolloutOrderSurvivesARestart(t *testing.T) {
	m := newSoleMachine(t)
	m.start()
	m.callUntil(http.StatusOK, http.MethodPost, "/Timetable.Replace", rolloutConfig)
	m.callUntil(http.StatusOK, http.MethodPost, "/Rollouts.Start", rolloutOrderBody)
	m.end()
	m.start()
	defer m.end()
	const want = `{"condition":"in_service","toEdition":"v2"}`
	if response := m.callUntil(http.StatusOK, http.MethodGet, "/Rollouts.Read/huvo11a", ""); response != want {
		t.Errorf("after a restart: %s, want %s", response, want)
	}
}

// Orders that readers of JSON understand differently are rejected, and what was committed before stays in force.
func TestAmbiguousOrdersAreRejected(t *testing.T) {
	m := newSoleMachine(t)
	m.start()
	defer m.end()
	const good = `{"edition":"00000001","gates":[{"depot":"h","regulations":[{"name":"r","routeKind":"safe","targetS":1,"precedence":0,
		"sorting":{"lanePrefix":"/"},"dispatch":{"line":"one","deadlineS":1,"attempts":1}}]}],"fleets":[{"name":"one"}]}`
	m.callUntil(http.StatusOK, http.MethodPost, "/Timetable.Replace", good)
	for path, bodies := range map[string][]string{
		"/Timetable.Replace": {
			`{"edition":"00000002","gates":[{"depot":"h","regulations":[]}],"fleets":[],"gates":[]}`,
			`{"edition":"00000002","edition":"00000003","gates":[],"fleets":[]}`,
			`{"edition":"00000002","gates":null,"fleets":[]}`,
			`{"edition":"00000002","gates":[],"fleets":[]}}`,
		},
		"/Rollouts.Start": {
			`{"line":"one","toEdition":"v2","toEdition":"v3","overS":5}`,
			`{"line":"one","toEdition":"v2","overS":5}{}`,
		},
	} {
		for _, body := range bodies {
			if status, response := callOperatorAPI(t, m.settings.Addresses.Control, http.MethodPost, path, body); status != http.StatusBadRequest {
				t.Errorf("%s %s: %d %s", path, body, status, response)
			}
		}
	}
	if text := m.callUntil(http.StatusOK, http.MethodGet, "/Timetable.Read", ""); text != good {
		t.Errorf("the configuration is %s", text)
	}
}
