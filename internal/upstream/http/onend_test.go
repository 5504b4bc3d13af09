package http

import (
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/testbed"
)

// Config.OnEnd is called once for an attempt that fails, and may end it in place of the backend, polled or not.
func TestOnEndMayTakeOverAttempt(t *testing.T) {
	for name, polled := range map[string]bool{"polled": true, "with goroutines": false} {
		t.Run(name, func(t *testing.T) {
			e, conns := silentServer(t, "s-1")
			notified, ended := make(chan balance.Result, 4), make(chan balance.Result, 4)
			cfg := Config{ConnectTimeout: testbed.Timeout, IdleTimeout: testbed.Timeout, MaxConns: 4,
				OnEnd: func(a *core.Attempt, r core.Result) bool {
					notified <- r.Outcome
					go a.End(core.Result{Outcome: balance.Rejected, NotDelivered: true})
					return true
				}}
			a := core.NewAttempt(e, &core.Message{Target: "/"}, time.Now().Add(testbed.Timeout), func(r core.Result) { ended <- r.Outcome })
			if polled {
				b, err := NewPoll(t.Context(), cfg)
				if err != nil {
					t.Fatal(err)
				}
				b.Begin(a)
			} else {
				New(t.Context(), cfg).Begin(a)
			}
			c := <-conns
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
			if got := <-notified; got != balance.Reset {
				t.Errorf("notified of %v", got)
			}
			if got := <-ended; got != balance.Rejected {
				t.Errorf("ended with %v", got)
			}
			if len(notified)+len(ended) > 0 {
				t.Error("notified or ended twice")
			}
		})
	}
}
