package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/core"
)

// newEarlyResponseServer returns a server that responds to a request as soon as its headers are received, without reading the body.
func newEarlyResponseServer(t *testing.T, answer string) *core.Endpoint {
	return acceptingServer(t, func(c net.Conn) {
		defer func() { _ = c.Close() }() // an error loses nothing
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || answer == "" {
			return
		}
		<-t.Context().Done()
	})
}

// sendToEarlyServer sends a request whose body the server does not read. It returns the result and the number of open connections.
func sendToEarlyServer(t *testing.T, server *core.Endpoint, streamed bool) (r core.Result, openConns int) {
	t.Helper()
	pool := newServerPool(t)
	a, ended := upload{streamed: streamed, sentBytes: longBody / 2, timeout: 5 * time.Second}.begin(t, pool, server)
	r = <-ended
	if time.Now().After(a.Deadline) {
		t.Error("the response is used after the deadline only")
	}
	return r, pool.Open()
}

// A server may respond before it has read the whole body. That response counts like any other, and is no refused connection; the
// connection is not reused. If the connection ends without a response, the server may have started the request all the same.
func TestResponseBeforeRequestBodyIsUsed(t *testing.T) {
	answerOf := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d Early\r\n%sContent-Length: 2\r\n\r\nok", status, fields)
	}
	for _, c := range []struct {
		name, answer string
		want         balance.Result
	}{
		{"the server's failure", answerOf(500, "Try-Id: x\r\n"), balance.Failed},
		{"a success", answerOf(200, "Try-Id: x\r\nPostmark: p\r\n"), balance.OK},
		{"a success after an interim response", "HTTP/1.1 103 Hints\r\n\r\n" + answerOf(200, "Try-Id: x\r\nPostmark: p\r\n"), balance.OK},
		{"a success without postmark", answerOf(200, "Try-Id: x\r\n"), balance.Reset},
		{"a response to another request", answerOf(200, "Try-Id: y\r\nPostmark: p\r\nConnection: close\r\n"), balance.Reset},
		{"rejected", answerOf(503, "Try-Id: x\r\nNot-Delivered: 1\r\n"), balance.Rejected},
		{"not HTTP", "\x80\x8a\r\n\r\n", balance.Reset},
		{"no response, and the connection ends", "", balance.Reset},
	} {
		for _, streamed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, streamed %v", c.name, streamed), func(t *testing.T) {
				r, openConns := sendToEarlyServer(t, newEarlyResponseServer(t, c.answer), streamed)
				if r.Outcome != c.want {
					t.Errorf("%v, want %v", r.Outcome, c.want)
				}
				if openConns != 0 {
					t.Errorf("%d connections stay open", openConns)
				}
			})
		}
	}
}
