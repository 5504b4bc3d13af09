package run

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"firplank/lab/judge"
	"firplank/lab/scenario"
	"firplank/lab/standin"
)

// Guards against a report page that loads external resources, has malformed plots, or contains unescaped text of a scenario.
func TestPageIsSelfContained(t *testing.T) {
	s, err := scenario.Parse("odd.toml", []byte("name = \"<b>odd</b>\"\n[[fault]]\nkind = \"crash\"\nat_s = 2\nfor_s = 3\ntarget = \"all\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	seen := newRecorder(judge.New(judge.Config{}), s.Length())
	for i := range 200 {
		seen.Received("t", "s-1", 0, time.Duration(i)*50*time.Millisecond)
	}
	tallies := []standin.ArrivalOutcome{
		{Class: 0, At: time.Second, End: scenario.Served, Took: 20 * time.Millisecond, Tries: 1},
		{Class: 0, At: 2 * time.Second, End: scenario.Refused, Tries: 2, RefusedIn: time.Millisecond},
	}
	r := newReport(s, tallies, seen.Close(time.Minute), seen)
	var page bytes.Buffer
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	for _, not := range []string{"<b>odd", "http-equiv", "<script", "<link", "src="} {
		if strings.Contains(text, not) {
			t.Errorf("the page contains %s", not)
		}
	}
	plots := 0
	for rest := text; ; plots++ {
		from := strings.Index(rest, "<svg")
		if from < 0 {
			break
		}
		to := strings.Index(rest, "</svg>") + len("</svg>")
		d := xml.NewDecoder(strings.NewReader(rest[from:to]))
		for err == nil {
			_, err = d.Token()
		}
		if !errors.Is(err, io.EOF) {
			t.Errorf("plot %d: %v", plots, err)
		}
		err, rest = nil, rest[to:]
	}
	if plots != 3 || strings.Count(text, "<rect") != 3 {
		t.Errorf("%d plots, %d bands", plots, strings.Count(text, "<rect"))
	}
}

func TestReportCounts(t *testing.T) {
	s, err := scenario.Parse("r.toml", nil)
	if err != nil {
		t.Fatal(err)
	}
	aim := scenario.MS(s.Classes[0].AimMS)
	tallies := []standin.ArrivalOutcome{
		{End: scenario.Served, Took: aim, Tries: 1}, {End: scenario.Served, Took: aim + 1, Tries: 2},
		{End: scenario.Refused, Tries: 3, RefusedIn: 4 * time.Millisecond}, {End: scenario.Lost, Tries: 1}, {End: scenario.Failed, Tries: 1},
	}
	r := newReport(s, tallies, &judge.Verdict{}, newRecorder(judge.New(judge.Config{}), s.Length()))
	got := r.Total
	if got.Asked != 5 || got.InAim != 1 || got.Late != 1 || got.Refused != 1 || got.Failed != 1 || got.Lost != 1 || got.Tries != 8 {
		t.Errorf("total %+v", got)
	}
	if want := (1 + s.Classes[0].LateWorth) / 5; got.Worth != want || r.RefusalP99 != 4 {
		t.Errorf("worth %v, want %v; refusals %v ms", got.Worth, want, r.RefusalP99)
	}
}

func TestQuantile(t *testing.T) {
	var all []time.Duration
	for i := range 100 {
		all = append(all, time.Duration(100-i)*time.Millisecond)
	}
	for q, want := range map[float64]float64{0: 1, 0.5: 50, 0.99: 99, 1: 100} {
		if got := Quantile(all, q); got != want {
			t.Errorf("%v-quantile %v, want %v", q, got, want)
		}
	}
	if Quantile(nil, 0.5) != 0 {
		t.Error("quantile of an empty slice is not 0")
	}
}
