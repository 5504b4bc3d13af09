package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"firplank/balance"
)

// unhex decodes hex text with spaces and line breaks.
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
		if errors.Is(err, io.EOF) {
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

func TestDecodeProtocolExamples(t *testing.T) {
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
		t.Errorf("request: %+v", recs[0])
	}
	if ev := recs[1].Event; ev != any(balance.TimerFired{Token: 77}) {
		t.Errorf("timer: %+v", ev)
	}
	if ev := recs[2].Event; ev != any(balance.ClientDisconnected{Request: 0xb677a0e6f2b19}) || recs[2].Instance != 5 {
		t.Errorf("disconnect: %+v", recs[2])
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
	if ended.Request != 0x2978f5d3a91c4 || ended.Server != 0x0a124a07232b || ended.Latency != 18.5 ||
		!ended.Finished || ended.Result != balance.OK {
		t.Errorf("outcome: %+v", ended)
	}
}

func TestEncodeProtocolExamples(t *testing.T) {
	var r Reply
	r.Reset()
	r.Add(3, []balance.Action{
		{Kind: balance.Send, Request: 0x2978f5d3a91c4, At: 8492, Server: 0x0a124a07232b},
		{Kind: balance.SetTimer, Token: 77, At: 500},
	})
	r.Add(5, []balance.Action{{Kind: balance.Log, Text: "two servers known"}})
	r.Add(3, []balance.Action{{Kind: balance.SendMessage, Peer: -1, Data: []byte("hi 7")}})
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

func TestMalformedFrames(t *testing.T) {
	for name, frame := range map[string]string{
		"truncated header":     "00000000 0000",
		"length under header":  "00000000 0000000f 40c06e2000000000",
		"length past the end":  "00000001 00000050 40c06e2000000000 03fc",
		"huge length":          "00000001 ffffffff 40c06e2000000000",
		"clock is NaN":         "00000000 00000010 7ff8000000000000",
		"unknown code":         "00000001 00000014 40c06e2000000000 ffff 0003",
		"truncated record":     "00000001 00000016 40c06e2000000000 03fc 0003 0000",
		"surplus bytes":        "00000000 00000012 40c06e2000000000 0000",
		"count past the end":   "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff",
		"settings past end":    "00000001 00000020 40c06e2000000000 042e 0000 0000000000000001 7fffffff",
		"unknown table":        "00000001 0000001b 40c06e2000000000 0410 0003 00 00000001 0003",
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

// The seed corpus runs as an ordinary test in CI.
func FuzzReader(f *testing.F) {
	for _, frame := range []string{emptyFrame, eventsFrame, listFrame, endedFrame, eventsFrame + listFrame} {
		f.Add(unhex(f, frame))
	}
	f.Add(unhex(f, "00000001 00000018 40c06e2000000000 03e8 0000 ffffffff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		recs, _, err := readAll(NewReader(bytes.NewReader(in)))
		if err == nil && len(in) > 0 && len(in) < headerBytes {
			t.Fatalf("%d bytes read as %d records", len(in), len(recs))
		}
	})
}
