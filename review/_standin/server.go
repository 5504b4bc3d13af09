package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// workTime is how long a server works on a request.
const workTime = 300 * time.Millisecond

// server stands in for an application's server, as the pages describe it: it sends beats, runs what names it, and stops working at the
// deadline that it is handed.
type server struct {
	machine *machine
	id      string
	ln      net.Listener
	ended   chan struct{}
	once    sync.Once
	left    atomic.Bool // it has sent Servers.Leave, and sends no beats any more
	beats   atomic.Int64
	// early says how the server answers a request whose body it has not read yet; 0: it reads the body first.
	early func(r *http.Request) (status int)
	// finish answers a request that was worked on in time, and reports whether the connection may carry another one; nil: with 200.
	finish func(c net.Conn, r *http.Request, body string) bool
	// workFor works on a request and answers it in place of work, if it is not nil. It reports whether the connection may carry another one.
	workFor func(c net.Conn, r *http.Request) bool
	// arrived is called as the server begins to work on a request; it may be nil.
	arrived func(id string)
}

// startServer starts the machine's server with a first beat, and more of them every beatEvery.
func (m *machine) startServer() error {
	ln, err := net.Listen("tcp", m.at(portApp))
	if err != nil {
		return err
	}
	m.server = &server{machine: m, id: "i-" + m.name, ln: ln, ended: make(chan struct{})}
	go m.server.serve()
	go m.server.sendBeats()
	return nil
}

// stop ends the server without a word.
func (s *server) stop() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.ln.Close()
	})
}

func (s *server) sendBeats() {
	for !s.left.Load() {
		s.sendBeat(s.nextBeat())
		select {
		case <-time.After(beatEvery):
		case <-s.ended:
			return
		}
	}
}

// nextBeat makes the next beat, which says that the server accepts requests.
func (s *server) nextBeat() []byte {
	body, _ := json.Marshal(map[string]any{
		"line": s.machine.line, "address": s.machine.at(portApp), "zone": s.machine.zone, "edition": "v1", "berths": 6,
		"condition": "accepting", "coldLeftS": 0, "sequence": s.beats.Add(1),
	})
	return body
}

// sendBeat sends a beat and returns the status of its answer; 0: there is none.
func (s *server) sendBeat(body []byte) int {
	return post("http://"+s.machine.at(portControl)+"/Servers.Beat/"+s.id, body, time.Second)
}

// leave says that the server has left, and returns the status of the answer.
func (s *server) leave() int {
	s.left.Store(true)
	return post("http://"+s.machine.at(portControl)+"/Servers.Leave/"+s.id, nil, time.Second)
}

func (s *server) serve() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

// serveConn serves one request after the other, until the connection ends or the server does.
func (s *server) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !s.serveRequest(c, r) {
			return
		}
		select {
		case <-s.ended:
			return
		default:
		}
	}
}

// serveRequest answers a request, and reports whether the connection may carry another one.
func (s *server) serveRequest(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Try-Id")
	switch {
	case r.URL.Path == "/health" && s.left.Load():
		return s.answer(c, r, http.StatusServiceUnavailable, "", "Served-By: "+s.id)
	case r.URL.Path == "/health":
		return s.answer(c, r, http.StatusOK, "", "Served-By: "+s.id)
	case id == "":
		return s.answer(c, r, http.StatusBadRequest, "", "Not-Delivered: 1")
	case r.Header.Get("Deliver-To") != "" && r.Header.Get("Deliver-To") != s.id:
		return s.answer(c, r, http.StatusMisdirectedRequest, "", "Not-Delivered: 1")
	}
	if s.early != nil {
		if status := s.early(r); status != 0 {
			return s.answerEarly(c, r, status)
		}
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.machine.world.note("%s got %d bytes of the body of %s, which then broke off: it has not begun", s.id, n, id)
		return false
	}
	s.begin(r, fmt.Sprintf("all %d bytes of its body have come", n))
	if s.workFor != nil {
		return s.workFor(c, r)
	}
	return s.work(c, r)
}

// begin notes that the server begins to work on a request.
func (s *server) begin(r *http.Request, when string) {
	id := r.Header.Get("Try-Id")
	s.machine.world.ran(id, s.id)
	s.machine.world.note("%s begins to work on %s: %s; Deadline-Ms: %s, Sender-Line: %s", s.id, id, when, r.Header.Get("Deadline-Ms"),
		r.Header.Get("Sender-Line"))
	if s.arrived != nil {
		s.arrived(id)
	}
}

// work works on a request, no longer than it was told, and answers it. It drops the request once its connection closes.
func (s *server) work(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Try-Id")
	began, left := time.Now(), workTime
	status := http.StatusOK
	if deadline, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		if d := time.Duration(deadline * float64(time.Millisecond)); d < left {
			left, status = d, http.StatusGatewayTimeout
		}
	}
	gone := make(chan error, 1)
	go func() { // looks for the connection's end while the server works; nothing else comes before the answer
		_ = c.SetReadDeadline(began.Add(left))
		_, err := c.Read(make([]byte, 1))
		gone <- err
	}()
	if err := <-gone; err != nil && time.Since(began) < left {
		s.machine.world.note("%s: the connection of %s was closed after %v, at work", s.id, id, time.Since(began).Round(10*time.Microsecond))
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	if status == http.StatusOK && s.finish != nil {
		return s.finish(c, r, doneText(s.id, id))
	}
	s.machine.world.note("%s answers %s with %d", s.id, id, status)
	return s.answer(c, r, status, doneText(s.id, id), "Postmark: "+s.id+"."+id)
}

// answerEarly begins to work on a request as its head has come, answers it at once, keeps the connection, and reads its body later.
func (s *server) answerEarly(c net.Conn, r *http.Request, status int) bool {
	id := r.Header.Get("Try-Id")
	s.begin(r, fmt.Sprintf("its head has come, and none of its body of %d bytes is read yet", r.ContentLength))
	s.machine.world.note("%s answers %s with %d, and reads on", s.id, id, status)
	if !s.answer(c, r, status, "early, by "+s.id+" for "+id, "Postmark: "+s.id+"."+id) {
		return false
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// answer writes an answer, and reports whether that went well.
func (s *server) answer(c net.Conn, r *http.Request, status int, body, field string) bool {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nTry-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
		r.Header.Get("Try-Id"), field, len(body), body)
	_, err := c.Write(out.Bytes())
	return err == nil
}
