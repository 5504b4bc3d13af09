package mesh

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
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

// A client stops sending a long filing that a server has begun to run by its head. It was answered 408, which promises that the filing has
// not run and never will.
func TestStalledUploadsAreNotRefused(t *testing.T) {
	m := startWithBounds(t, Config{Net: 58, Core: 3})
	for _, x := range m.Branch {
		x.CurrentServer().SetBehaviour(Behaviour{Upload: RunAtHead})
	}
	for i, x := range m.Branch {
		must(t, Await(5*time.Second, x.Name+" knows the servers", func() bool {
			status, _, err := x.Send(http.MethodPost, "plates.example", "/file/x", fmt.Sprintf("known-%d", i), nil)
			return err == nil && status == http.StatusOK
		}))
	}
	var tasks sync.WaitGroup
	for i, x := range m.Branch {
		tasks.Go(func() {
			id := fmt.Sprintf("stalled-%d", i)
			status, err := sendHalf(x, id)
			if checkUploadAnswer(t, m, id, status, err) == 0 {
				t.Errorf("%s: it has not run", id)
			}
		})
	}
	tasks.Wait()
}

// sendHalf sends a filing without the second half of its body, and returns the status of the response.
func sendHalf(x *Machine, id string) (status int, err error) {
	conn, err := net.Dial("tcp", net.JoinHostPort(x.IP, strconv.Itoa(basePort+4)))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }() // the response was read
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 0, err
	}
	head := fmt.Sprintf("POST /file/x HTTP/1.1\r\nHost: plates.example\r\nTry-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n",
		id, uploadBytes)
	if _, err := conn.Write(append([]byte(head), make([]byte, uploadBytes/2)...)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
