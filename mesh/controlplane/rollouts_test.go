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

// soleMachine is a control machine that is the only one, with a folder of its own.
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
	settings.Bounds.Sync, settings.Bounds.Grace = 2*time.Second, 600*time.Millisecond
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

// callUntil repeats a call until it has a status.
func (m *soleMachine) callUntil(status int, method, path, body string) (answer string) {
	m.t.Helper()
	got := 0
	for end := time.Now().Add(10 * time.Second); got != status && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got, answer = callOperatorAPI(m.t, m.settings.Addresses.Control, method, path, body); got == http.StatusNotFound {
			break
		}
	}
	if got != status {
		m.t.Fatalf("%s %s: %d %s, want %d", method, path, got, answer, status)
	}
	return answer
}

const (
	servicesOfRollout = `{"edition":"0000000a","gates":[],"fleets":[{"name":"huvo11a","healthPath":"/health","maxConns":9,"protocol":"h1"}]}`
	orderOfRollout    = `{"line":"huvo11a","toEdition":"v2","overS":12}`
)

func TestRolloutOrderAheadOfTheFirstConfigurationIsAskedForAgain(t *testing.T) {
	m := newSoleMachine(t)
	m.start()
	defer m.end()
	m.callUntil(http.StatusServiceUnavailable, http.MethodPost, "/Rollouts.Start", orderOfRollout)
	m.callUntil(http.StatusOK, http.MethodPost, "/Timetable.Replace", servicesOfRollout)
	m.callUntil(http.StatusOK, http.MethodPost, "/Rollouts.Start", orderOfRollout)
}

func TestRolloutOrderIsTakenAndSurvivesARestart(t *testing.T) {
	m := newSoleMachine(t)
	m.start()
	m.callUntil(http.StatusOK, http.MethodPost, "/Timetable.Replace", servicesOfRollout)
	m.callUntil(http.StatusOK, http.MethodPost, "/Rollouts.Start", orderOfRollout)
	m.end()
	m.start()
	defer m.end()
	const want = `{"condition":"in_service","toEdition":"v2"}`
	if answer := m.callUntil(http.StatusOK, http.MethodGet, "/Rollouts.Read/huvo11a", ""); answer != want {
		t.Errorf("after a restart: %s, want %s", answer, want)
	}
}
