package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"firplank/balance"
	"firplank/internal/roster"
)

// At debug level a line has the counts since the last one, among them causes of unserved requests and attempts at servers
// in slow start. At other levels there is no record.
func TestRecordCountsSinceLastLine(t *testing.T) {
	var text bytes.Buffer
	cfg := Config{Balance: balance.Config{SlowStartTime: 1000, Fields: []balance.Field{balance.FieldRate, balance.FieldUtil}}}
	cfg.Log = slog.New(slog.NewTextHandler(&text, nil))
	if newRecord(&cfg) != nil {
		t.Fatal("a record at info level")
	}
	cfg.Log = slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{Level: slog.LevelDebug}))
	l := New(t.Context(), cfg)
	r, warmingUp := l.record, &Endpoint{member: roster.Member{UpSince: 900}}
	r.requestReceived()
	r.endedUnserved(&balance.Action{Cause: balance.LoadShed})
	r.sent(warmingUp, 1000)
	r.sent(&Endpoint{}, 5000)
	r.ended(&Attempt{Endpoint: warmingUp, sentAt: 1000, latency: 10, result: Result{Outcome: balance.Rejected, Report: []float32{7, 0.25}}})
	r.listed(60)
	r.listFailed()
	l.now = 1000
	r.write(l)
	r.write(l) // not due again
	for _, want := range []string{"asked=1 ", "shed=1 ", "to_cold=1 ", "to_warm=1 ", "full=1 ", "util_cold=0.25", "lines=60", "no_lists=1"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %s in %s", want, text.String())
		}
	}
	if l.now += recordIntervalMillis; strings.Count(text.String(), "\n") != 1 {
		t.Errorf("more than a line: %s", text.String())
	}
	text.Reset()
	if r.write(l); !strings.Contains(text.String(), "asked=0 ") {
		t.Errorf("counted twice: %s", text.String())
	}
}
