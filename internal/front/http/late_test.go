package http

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"firplank/internal/core"
	"firplank/internal/testbed"
)

// lateExchange answers each call after a delay.
type lateExchange struct {
	after time.Duration
	ctx   context.Context
}

func (x lateExchange) Submit(c *core.Call) {
	time.AfterFunc(x.after, func() {
		c.Client.Answer(c, &core.Answer{Status: http.StatusOK, Meta: map[string][]string{}, Body: []byte("late")})
	})
}
func (lateExchange) Disconnect(*core.Call)   {}
func (lateExchange) Ready() bool             { return true }
func (x lateExchange) Done() <-chan struct{} { return x.ctx.Done() }

// plainDialect accepts each request unchanged.
type plainDialect struct{}

func (plainDialect) Fill(c *core.Call, r *Request, body []byte) (*core.Answer, error) {
	c.Message = core.Message{Verb: r.Method, Target: r.Target, Body: body}
	return nil, nil
}

func (plainDialect) ErrorAnswer(status int, text string) *core.Answer {
	return &core.Answer{Status: status, Body: []byte(text)}
}

func (plainDialect) UploadErrorAnswer(text string) *core.Answer {
	return &core.Answer{Status: http.StatusGatewayTimeout, Body: []byte(text)}
}

// A front with a dialect does not know its requests' deadlines, so an answer may arrive at any time. An answer that arrives later than
// writeTimeout after its request must still be written, also on a connection that carried another one before.
func TestLateAnswerIsWritten(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	x := lateExchange{writeTimeout + 300*time.Millisecond, ctx}
	cfg := Config{
		Catalog: &core.Catalog{}, Connections: 10, Evict: func() bool { return false }, Dialect: plainDialect{},
		Log: slog.New(slog.DiscardHandler),
	}
	ln := testbed.Listen(t)
	f := New(cfg, x)
	f.Serve(ln)
	client := &http.Client{Timeout: testbed.Timeout}
	defer client.CloseIdleConnections()
	for range 2 {
		response, err := client.Get("http://" + ln.Addr().String() + "/x")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if _ = response.Body.Close(); err != nil || string(body) != "late" {
			t.Errorf("answered %q, %v", body, err)
		}
	}
	if err := f.End(time.Second); err != nil {
		t.Error(err)
	}
}
