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

func TestClientCloseAbortsStream(t *testing.T) {
	aborted := make(chan struct{})
	s := startPoll(t, 10, func(a *core.Attempt) {
		body := bodypipe.New(1 << 20)
		body.OnAbort(func() { close(aborted) })
		_ = body.Append([]byte("first")) // the rest is a long time in coming
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
	_ = resp.Body.Close() // of a connection that is closed
	testbed.Next(t, aborted)
}
