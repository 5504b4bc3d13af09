package mesh

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
)

// uploadBytes is the length of a body that sidecars forward while they receive it.
const uploadBytes = 256 << 10

// checkUploadAnswer checks that a filing which a server has begun to run was not refused, as its client would file it again. It returns how
// often the filing has run.
func checkUploadAnswer(t *testing.T, m *Mesh, id string, status int, err error) (runs int) {
	t.Helper()
	runs = m.Runs(id)
	if err != nil || runs > 1 {
		t.Errorf("%s: status %d, %v, %d runs", id, status, err, runs)
	}
	if runs == 0 {
		return 0
	}
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		t.Errorf("%s: status %d promises that it has not run, and it has", id, status)
	}
	return runs
}

// A server begins to run a long filing by its head and ends the connection without a response, before the body's end. The client was told
// 503 "refused, trying again is harmless", filed again, and the filing ran twice.
func TestBrokenUploadsAreNotRefused(t *testing.T) {
	m := startWithBounds(t, Config{Net: 57, Core: 3})
	var servers []*Server
	for _, x := range m.Branch {
		if x.Service() == "registry" {
			s := x.CurrentServer()
			s.SetBehaviour(Behaviour{Upload: []UploadBehaviour{CloseAtHead, ResetAtHead}[len(servers)%2]})
			servers = append(servers, s)
		}
	}
	for i := range 12 {
		x, id := m.Branch[i%len(m.Branch)], fmt.Sprintf("broken-%d", i)
		status, _, err := x.Send(http.MethodPost, "plates.example", "/file/x", id, bytes.Repeat([]byte("b"), uploadBytes))
		checkUploadAnswer(t, m, id, status, err)
	}
	for _, s := range servers {
		if s.Served.Load() == 0 {
			t.Errorf("no filing has run at %s", s.ID())
		}
	}
}
