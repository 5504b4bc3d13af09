package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// firstTimetable is the configuration of the deployment: one route that must not run twice, and one that may.
const firstTimetable = `{"edition":"00000001","caps":{"envelopeBytes":16384,"contentsBytes":67108864,"envelopeS":3,"idleS":15},
 "gates":[{"depot":"plates.example","regulations":[
  {"name":"owner-transfer","routeKind":"unsafe","targetS":1,"precedence":1,"sorting":{"lanePrefix":"/file/"},
   "dispatch":{"line":"transfer-svc","deadlineS":4,"attempts":2}},
  {"name":"tax-status","routeKind":"safe","targetS":0.3,"precedence":1,"sorting":{"lanePrefix":"/tax/"},
   "dispatch":{"line":"tax-svc","deadlineS":1.2,"attempts":2}}]}],
 "fleets":[{"name":"transfer-svc","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
  {"name":"tax-svc","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}]}`

// deadline is how long a client waits for an owner transfer.
const deadline = 4 * time.Second

// post sends a POST and returns the status of the answer; 0: there is none.
func post(url string, body []byte, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// reply is how a try ended for its client.
type reply struct {
	id       string
	status   int // 0: the connection ended without an answer
	postmark string
	text     string
	sentAt   time.Time // when the first byte was sent
	wholeAt  time.Time // when the last byte was sent; zero: not all was sent
	endedAt  time.Time
	retry    string // Retry-After
}

// own reports whether the answer is the system's own, not a server's.
func (r *reply) own() bool { return r.status != 0 && r.postmark == "" }

func (r *reply) String() string {
	whole := "its body was not sent whole"
	if !r.wholeAt.IsZero() {
		whole = fmt.Sprintf("%v after its last byte", r.endedAt.Sub(r.wholeAt).Round(100*time.Microsecond))
	}
	if r.status == 0 {
		return fmt.Sprintf("no answer (%s), %s", r.text, whole)
	}
	from := "by a server: Postmark " + r.postmark
	if r.own() {
		from = "by the system itself: no Postmark"
	}
	return fmt.Sprintf("%d %q (%s; Retry-After %q), %s", r.status, strings.TrimSpace(r.text), from, r.retry, whole)
}

var tries atomic.Int64

// file sends an owner transfer of so many bytes to a machine, in pieces with a pause after each, on a new connection.
func (m *machine) file(filing string, size, piece int, pause time.Duration) *reply {
	r := &reply{id: fmt.Sprintf("%s.try%d", filing, tries.Add(1)), sentAt: time.Now()}
	defer func() {
		r.endedAt = time.Now()
		m.world.note("client at %s: %s is answered %v", m.name, r.id, r)
	}()
	m.world.note("client at %s sends %s, filing %s, with a body of %d bytes", m.name, r.id, filing, size)
	c, err := net.DialTimeout("tcp", m.at(portOutgoing), time.Second)
	if err != nil {
		r.text = err.Error()
		return r
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("POST /file/%s HTTP/1.1\r\nHost: %s\r\nTry-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		filing, host, r.id, deadline.Milliseconds(), size)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		out, body := []byte(head), bytes.Repeat([]byte("f"), size)
		for {
			if _, err := c.Write(out); err != nil {
				return
			}
			if len(body) == 0 {
				r.wholeAt = time.Now()
				return
			}
			n := min(piece, len(body))
			out, body = body[:n], body[n:]
			time.Sleep(pause)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		r.status, r.postmark, r.text = resp.StatusCode, resp.Header.Get("Postmark"), string(body)
		r.retry = resp.Header.Get("Retry-After")
	}
	if err != nil {
		r.status, r.text = 0, err.Error()
	}
	_ = c.SetWriteDeadline(time.Now()) // who has an answer sends no more
	<-sent
	return r
}

// promises reports whether a status promises that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
