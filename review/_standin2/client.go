package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// try is one try of a client, on a connection of its own.
type try struct {
	id, method, path string
	body             []byte
	deadline         time.Duration // the value of Deadline-Ms, and how long the client waits

	// The result.
	began    time.Time
	answered time.Duration // when the whole answer was there; 0: it never was
	status   int
	stamp    string
	answer   []byte
	err      error
	sent     int // bytes of the body that the client could send
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", uint64(lastID.Add(1))*0x9e3779b97f4a7c15) }

// do sends the try to the outgoing address of a machine and waits for the answer.
func (t *try) do(m *machine) {
	t.began = time.Now()
	c, err := net.DialTimeout("tcp", m.addr(portOutgoing), time.Second)
	if err != nil {
		t.err = err
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(t.began.Add(t.deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nTry-Id: %s\r\nDeadline-Ms: %d\r\n", t.method, t.path, host, t.id, t.deadline.Milliseconds())
	if t.body != nil {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(t.body))
	}
	if _, t.err = io.WriteString(c, head.String()+"\r\n"); t.err != nil {
		return
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		for t.sent < len(t.body) {
			n, err := c.Write(t.body[t.sent:min(len(t.body), t.sent+64<<10)])
			t.sent += n
			if err != nil {
				return
			}
		}
	}()
	readAnswer(t, c)
	_ = c.Close()
	<-written
}

// readAnswer reads the answer to a try.
func readAnswer(t *try, c net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.err = err
		return
	}
	t.status, t.stamp = response.StatusCode, response.Header.Get("Postmark")
	t.answer, t.err = io.ReadAll(response.Body)
	if t.err == nil {
		t.answered = time.Since(t.began)
	}
}

// String describes the result for the record.
func (t *try) String() string {
	return fmt.Sprintf("%s %s %s: sent %d of %d bytes, status %d, %d bytes answered, whole after %.3f s, %v",
		t.id, t.method, t.path, t.sent, len(t.body), t.status, len(t.answer), t.answered.Seconds(), t.err)
}
