package http

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"

	"firplank/balance"
	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/testbed"
)

// A client that closes its connection in the middle of a streamed answer must abort the stream, or the server would continue.
func TestClientCloseAbortsStream(t *testing.T) {
	aborted := make(chan struct{})
	s := startPoll(t, 10, func(a *core.Attempt) {
		body := bodypipe.New(1 << 20)
		body.OnAbort(func() { close(aborted) })
		_ = body.Append([]byte("first")) // the rest does not arrive
		a.End(core.Result{Outcome: balance.OK, Answer: &core.Answer{Meta: map[string][]string{}, Stream: body}})
	})
	c := s.dial()
	if _, err := fmt.Fprint(c, requestText(1)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	_ = resp.Body.Close() // the connection is closed already
	testbed.Next(t, aborted)
}
