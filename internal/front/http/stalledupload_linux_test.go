package http

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/internal/testbed"
)

// readingExchange answers no call, and reads streamed bodies after a pause.
type readingExchange struct {
	ctx   context.Context
	pause time.Duration
}

func (x readingExchange) Submit(c *core.Call) {
	time.AfterFunc(x.pause, func() {
		for err := error(nil); err == nil; {
			_, err = c.Message.Stream.ReadTimeout(make([]byte, bodypipe.BufferLimit), testbed.Timeout)
		}
	})
}
func (readingExchange) Disconnect(*core.Call)   {}
func (readingExchange) Ready() bool             { return true }
func (x readingExchange) Done() <-chan struct{} { return x.ctx.Done() }

// streamDialect is plainDialect with streamed bodies.
type streamDialect struct{ plainDialect }

func (streamDialect) Fill(c *core.Call, r *Request, _ []byte) (*core.Answer, error) {
	c.Message.Verb, c.Message.Target = r.Method, r.Target
	return nil, nil
}

// stalledUploadStatus returns the status of the response to a request whose long body stops coming after some bytes. The
// bytes are read after a pause.
func stalledUploadStatus(t *testing.T, sentBytes int, pause time.Duration) int {
	t.Helper()
	f, err := NewPoll(Config{
		Catalog: &core.Catalog{}, Connections: 10, Evict: func() bool { return false }, Dialect: streamDialect{},
		Log: slog.New(slog.DiscardHandler),
	}, readingExchange{t.Context(), pause})
	if err != nil {
		t.Fatal(err)
	}
	ln := testbed.Listen(t)
	f.Serve(ln)
	defer func() { _ = f.End(time.Second) }() // its call has no answer
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response was read
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 2*httpwire.MaxBufferedBody)
	if _, err := conn.Write(append([]byte(head), make([]byte, sentBytes)...)); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testbed.Timeout)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close() // only the status matters
	return response.StatusCode
}

// With a dialect the answer to a streamed body that stops coming is the one for requests that a server may have started, not 408.
func TestStalledUploadIsNoPromise(t *testing.T) {
	if status := stalledUploadStatus(t, 1, 0); status != http.StatusGatewayTimeout {
		t.Errorf("status %d", status)
	}
}

// A body that stops coming just when its pipe is full still times out once the pipe was read. The client waited for its answer for as long
// as an upload may take.
func TestStalledUploadTimesOutAfterAFullPipe(t *testing.T) {
	if status := stalledUploadStatus(t, bodypipe.BufferLimit, 300*time.Millisecond); status != http.StatusGatewayTimeout {
		t.Errorf("status %d", status)
	}
}
