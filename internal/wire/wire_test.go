package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"cedararch/balance"
)

// unhex joins hex text with spaces and line breaks.
func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func readAll(r *Reader) ([]Record, float64, error) {
	var recs []Record
	var at float64
	for {
		err := r.Read(func(clock float64, rec Record) error {
			recs, at = append(recs, rec), clock
			return nil
		})
		if err == io.EOF {
			return recs, at, nil
		}
		if err != nil {
			return recs, at, err
		}
	}
}

const (
	emptyFrame  = "00000000 00000010 40c06e2000000000"
	eventsFrame = `00000003 00000052 40c06e2000000000
		03f2 0003 0002978f5d3a91c4 0000 4028000000000000 0001 91f03b7c55d20a64 406e000000000000 0000
		03fc 0003 000000000000004d
		044c 0005 000b677a0e6f2b19`
	listFrame = `00000002 00000051 40c06e2000000000
		03e8 0000 00000002
		0000000000000000 00 0a124a07 232b 3f800000 0000 00 00
		40b7d40000000000 00 0a9011f2 2354 3fc00000 0000 01 00
		0410 0003 01 00000029 0000`
	endedFrame = `00000001 0000002f 40c06e2000000000
		0442 0003 0002978f5d3a91c4 00 0a124a07 232b 0000 4032800000000000 01 00`
)

func TestDecodesTheProtocolsExamples(t *testing.T) {
	in := unhex(t, emptyFrame+eventsFrame+listFrame+endedFrame)
	recs, clock, err := readAll(NewReader(bytes.NewReader(in)))
	if err != nil {
		t.Fatal(err)
	}
	if clock != 8412.25 || len(recs) != 5 {
		t.Fatalf("clock %v, %d records", clock, len(recs))
	}
	ask, ok := recs[0].Event.(balance.Request)
	want := balance.Request{ID: 0x2978f5d3a91c4, WorkHint: 12, Key: 0x91f03b7c55d20a64, Remaining: 240}
	if !ok || ask != want || recs[0].Instance != 3 {
		t.Errorf("ask: %+v", recs[0])
	}
	if ev := recs[1].Event; ev != any(balance.Timer{Token: 77}) {
		t.Errorf("alarm: %+v", ev)
	}
	if ev := recs[2].Event; ev != any(balance.HangUp{Request: 0xb677a0e6f2b19}) || recs[2].Instance != 5 {
		t.Errorf("hangup: %+v", recs[2])
	}
	list := recs[3].Event.(balance.ServerList)
	if list.Kind != balance.ListCached || len(list.Servers) != 2 {
		t.Fatalf("list: %+v", list)
	}
	second := balance.Server{ID: 0x0a9011f22354, StartedAt: 6100, Rating: 1.5, Zone: 1}
	if list.Servers[0].ID != 0x0a124a07232b || list.Servers[1] != second {
		t.Errorf("entries: %+v", list.Servers)
	}
	ended := recs[4].Event.(balance.Outcome)
	if ended.Request != 0x2978f5d3a91c4 || ended.Server != 0x0a124a07232b || ended.Took != 18.5 ||
		!ended.Finished || ended.Result != balance.OK {
		t.Errorf("ended: %+v", ended)
	}
}

func TestEncodesTheProtocolsExamples(t *testing.T) {
	var r Reply
	r.Reset()
	r.Add(3, []balance.Action{
		{Kind: balance.Send, Request: 0x2978f5d3a91c4, At: 8492, Server: 0x0a124a07232b},
		{Kind: balance.SetTimer, Token: 77, At: 500},
	})
	r.Add(5, []balance.Action{{Kind: balance.Log, Text: "two servers known"}})
	r.Add(3, []balance.Action{{Kind: balance.Post, Peer: -1, Data: []byte("hi 7")}})
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `00000057
		03e8 0003 0002978f5d3a91c4 40c0960000000000 0a124a07232b
		0410 0003 000000000000004d 407f400000000000
		0438 0005 0011 74776f2073657276657273206b6e6f776e
		042e 0003 ffffffff 0004 68692037`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", out.Bytes(), want)
	}
}

func TestMalformedFramesAreErrors(t *testing.T) {
	for name, frame := range map[string]string{
		"header cut short":     "00000000 0000",
		"length under header":  "00000000 0000000f 40c06e2000000000",
		"length past the end":  "00000001 00000050 40c06e2000000000 03fc",
		"huge length":          "00000001 ffffffff 40c06e2000000000",
		"clock not a number":   "00000000 00000010 7ff8000000000000",
		"unknown code":         "00000001 00000014 40c06e2000000000 ffff 0003",
		"record cut short":     "00000001 00000016 40c06e2000000000 03fc 0003 0000",
		"bytes left over":      "00000000 00000012 40c06e2000000000 0000",
		"count past the end":   "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff",
		"settings past end":    "00000001 00000020 40c06e2000000000 042e 0000 0000000000000001 7fffffff",
		"table never sent":     "00000001 0000001b 40c06e2000000000 0410 0003 00 00000001 0003",
		"table out of range":   "00000001 00000018 40c06e2000000000 03e8 0010 00000000",
		"unknown list kind":    "00000001 0000001b 40c06e2000000000 0410 0003 07 00000001 0000",
		"unknown result":       strings.Replace(endedFrame, "232b 0000", "232b 0055", 1),
		"more records claimed": strings.Replace(endedFrame, "00000001", "00000002", 1),
	} {
		recs, _, err := readAll(NewReader(bytes.NewReader(unhex(t, frame))))
		if err == nil {
			t.Errorf("%s: no error, records %+v", name, recs)
		}
	}
}

func TestSettings(t *testing.T) {
	cfg, err := ParseSettings(9, []byte(`{"classes": [
		{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500, "worth": 2, "late_worth": 0.3},
		{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": 700}],
		"a_new_key": {"x": [1]}, "discovery": "subscribe", "my_number": 2, "peers_total": 5,
		"limits": {"parallel_tries": true, "probes": true, "max_attempts": 4},
		"report": {"via": "pull", "fields": ["q", "new", "rif"]},
		"rules": {"cold_from": 0.2, "cold_ms": 9000, "fall_multiple": 3, "fall_ms": 700}, "result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
		"penalties": {"cross_zone": 1, "waste": 2, "handshake": 3, "probe": 4, "peer": 5, "late_fail": 6, "moves": 7},
		"tenants": [{"share": 0.4, "allowance_per_s": 10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 9 || !cfg.Subscribe || cfg.Number != 2 || cfg.Peers != 5 || !cfg.Parallel || !cfg.Probes ||
		cfg.Cancel || cfg.MaxAttempts != 4 || cfg.ColdFrom != 0.2 || cfg.Tenants[0].Share != 0.4 {
		t.Errorf("%+v", cfg)
	}
	if want := (balance.Goal{Whole: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1}); cfg.Goal != want {
		t.Errorf("goal %+v", cfg.Goal)
	}
	want := balance.Prices{CrossZone: 1, Waste: 2, Handshake: 3, Probe: 4, Peer: 5, LateFail: 6}
	if cfg.Prices != want {
		t.Errorf("prices %+v", cfg.Prices)
	}
	second := cfg.Classes[1]
	if second.Effect != balance.Keyed || second.Group != balance.GroupCell || second.Aim != 600 || second.Worth != 1 {
		t.Errorf("a class with keys left out: %+v", second)
	}
	if cfg.Reports != balance.ReportProbe || len(cfg.Fields) != 3 || cfg.Fields[1] != balance.FieldUnknown {
		t.Errorf("reports %v %v", cfg.Reports, cfg.Fields)
	}
	for _, bad := range []string{
		``, `[]`, `{}`, `{"classes": []}`, `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`,
		`{"classes": [{"effect": "read_like"}]}`, `{"classes": [{"effect": "read_like", "hard_limit_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "discovery": "guess"}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "report": {"via": "pigeon"}}`,
	} {
		if _, err := ParseSettings(1, []byte(bad)); err == nil {
			t.Errorf("no error for %s", bad)
		}
	}
}

// The seed corpus runs in CI as an ordinary test.
func FuzzReader(f *testing.F) {
	for _, frame := range []string{emptyFrame, eventsFrame, listFrame, endedFrame, eventsFrame + listFrame} {
		f.Add(unhex(f, frame))
	}
	f.Add(unhex(f, "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		recs, _, err := readAll(NewReader(bytes.NewReader(in)))
		if err == nil && len(in) > 0 && len(in) < headerSize {
			t.Fatalf("%d bytes read as %d records", len(in), len(recs))
		}
	})
}

// Each deployment's shape, with figures of its own: what reaches the module.
func TestSettingsReachTheModule(t *testing.T) {
	cfg, err := ParseSettings(1, []byte(`{"classes": [
		{"effect": "idempotency_key", "group": "cell", "on_time_ms": 210, "hard_limit_ms": 700, "window_ms": 900},
		{"effect": "non_idempotent", "group": "all", "on_time_ms": 250, "hard_limit_ms": 900, "window_ms": 900}],
		"clients": {"marks_retry": true}, "value_by": "work", "weights": "nominal",
		"limits": {"open_cap": 77, "streams_per_conn": 8, "cpu_us_per_s": 9, "max_attempts": 2},
		"result_mix": {"whole": 0.5, "nines_part": 0.3, "nines_full": 3}, "penalties": {"connection": 0.02},
		"rules": {"cold_from": 0.1, "cold_ms": 8000, "fall_multiple": 2, "fall_ms": 900, "ask_within_ms": 7000}}`))
	if err != nil {
		t.Fatal(err)
	}
	if !cfg.MarksRepeat || !cfg.ByWork || cfg.Ratings != balance.RatingNominal || cfg.OpenCap != 77 || cfg.Streams != 8 {
		t.Errorf("%+v", cfg)
	}
	if cfg.Goal.Nines != 0.3 || cfg.Prices.Connection != 0.02 || cfg.AskWithin != 7000 || cfg.FallMultiple != 2 {
		t.Errorf("%+v", cfg)
	}
}

func TestImpossibleSettingsAreErrors(t *testing.T) {
	const class = `"classes": [{"effect": "read_like", "hard_limit_ms": 500}]`
	for _, bad := range []string{
		`{` + class + `, "rules": {"cold_ms": -1}}`,
		`{` + class + `, "rules": {"cold_from": 1.5}}`,
		`{` + class + `, "rules": {"cold_ms": 5000}}`, // nothing says when a cold server falls
		`{` + class + `, "rules": {"drain_grace_ms": -250}}`,
		`{` + class + `, "rules": {"fall_ms": 1e999}}`,
		`{` + class + `, "limits": {"max_attempts": 0}}`,
		`{` + class + `, "limits": {"open_cap": -4}}`,
		`{"classes": [{"effect": "idempotency_key", "hard_limit_ms": 500}]}`,
		`{"classes": [{"effect": "idempotency_key", "hard_limit_ms": 500, "window_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 500, "worth": -2}]}`,
	} {
		if _, err := ParseSettings(1, []byte(bad)); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("%s: error %v", bad, err)
		}
	}
}

// The seed corpus runs in CI as an ordinary test.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "rules": {"cold_ms": 1, "fall_ms": 1, "fall_multiple": 2}}`))
	f.Add([]byte(`{"classes": [{"effect": "idempotency_key", "group": "zone", "window_ms": 3, "hard_limit_ms": 1}], "tenants": [{}]}`))
	f.Add([]byte(`{"classes": null}`))
	f.Add([]byte(`[1e400]`))
	f.Fuzz(func(t *testing.T, in []byte) {
		cfg, err := ParseSettings(1, in)
		if err == nil && (len(cfg.Classes) == 0 || cfg.MaxAttempts < 1 || cfg.DrainGrace < 0) {
			t.Fatalf("accepted: %+v", cfg)
		}
		if err == nil {
			b := balance.New(cfg)
			b.Start(0)
			if _, err := b.Handle(1, balance.Request{ID: 1, Remaining: 1}); err != nil {
				t.Fatal(err)
			}
		}
	})
}
