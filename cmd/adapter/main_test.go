package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// frameBuilder collects input frames for the adapter.
type frameBuilder struct{ bytes.Buffer }

func (s *frameBuilder) writeFrame(clock float64, records ...[]byte) {
	size := 16
	for _, r := range records {
		size += len(r)
	}
	_ = binary.Write(s, binary.BigEndian, []uint32{uint32(len(records)), uint32(size)})
	_ = binary.Write(s, binary.BigEndian, clock)
	for _, r := range records {
		s.Write(r)
	}
}

// record encodes its fields in big-endian order.
func record(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		_ = binary.Write(&b, binary.BigEndian, f)
	}
	return b.Bytes()
}

const settingsJSON = `{"classes": [{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500}],
	"limits": {"max_attempts": 3}}`

func beginRecord(instance uint16, seed uint64, settingsText string) []byte {
	return record(uint16(1070), instance, seed, uint32(len(settingsText)), []byte(settingsText))
}

func serverTable(n int) []byte {
	b := record(uint16(1000), uint16(0), uint32(n))
	for i := range n {
		b = append(b, record(0.0, uint8(0), uint32(i+1), uint16(80), float32(1), uint16(i), uint8(0), uint8(0))...)
	}
	return b
}

func cachedServerList(instance uint16) []byte {
	return record(uint16(1040), instance, uint8(1), uint32(1), uint16(0))
}

func requestRecord(instance uint16, id uint64) []byte {
	return record(uint16(1010), instance, id, uint16(0), 0.0, uint16(0), uint64(0), 1500.0, uint16(0))
}

func mustRun(t *testing.T, s *frameBuilder) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(&s.Buffer, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// countSends returns the number of send records (code 1000) by instance. The replies may contain only sends and timers.
func countSends(t *testing.T, replies []byte) map[uint16]int {
	t.Helper()
	counts := map[uint16]int{}
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for rest := replies[4:size]; len(rest) > 0; {
			switch binary.BigEndian.Uint16(rest) {
			case 1000:
				counts[binary.BigEndian.Uint16(rest[2:])]++
				rest = rest[26:]
			case 1040:
				rest = rest[20:]
			default:
				t.Fatalf("unexpected action %d", binary.BigEndian.Uint16(rest))
			}
		}
		replies = replies[size:]
	}
	return counts
}

func TestInstancesOfOneProcessAreIndependent(t *testing.T) {
	replay := func(instances ...uint16) []byte {
		s := &frameBuilder{}
		var first [][]byte
		for _, i := range instances {
			first = append(first, beginRecord(i, uint64(i)*7, settingsJSON), serverTable(5), cachedServerList(i))
		}
		s.writeFrame(1000, first...)
		for id := range uint64(60) {
			for _, i := range instances {
				s.writeFrame(1001+float64(id), requestRecord(i, id))
			}
		}
		return mustRun(t, s)
	}
	shared := replay(1, 2, 3)
	for _, i := range []uint16{1, 2, 3} {
		separate := replay(i)
		if n, m := countSends(t, shared)[i], countSends(t, separate)[i]; n != 60 || m != 60 {
			t.Fatalf("instance %d sent %d in a shared process, %d in its own", i, n, m)
		}
		if !bytes.Equal(actionsOf(shared, i), actionsOf(separate, i)) {
			t.Fatalf("instance %d acts differently in a shared process and in its own", i)
		}
	}
}

// actionsOf returns the encoded sends and timers of one instance.
func actionsOf(replies []byte, instance uint16) []byte {
	var out []byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		for rest := replies[4:size]; len(rest) > 0; {
			recordBytes := 20
			if binary.BigEndian.Uint16(rest) == 1000 {
				recordBytes = 26
			}
			if binary.BigEndian.Uint16(rest[2:]) == instance {
				out = append(out, rest[:recordBytes]...)
			}
			rest = rest[recordBytes:]
		}
		replies = replies[size:]
	}
	return out
}

func TestInstanceRestartWithinOneFrame(t *testing.T) {
	s := &frameBuilder{}
	s.writeFrame(1000, beginRecord(1, 7, settingsJSON), serverTable(3), cachedServerList(1), requestRecord(1, 5),
		record(uint16(1060), uint16(1)), beginRecord(1, 8, settingsJSON), cachedServerList(1), requestRecord(1, 6))
	s.writeFrame(1001, record(uint16(1020), uint16(1), uint64(5))) // a timer of the stopped instance: ignored
	if n := countSends(t, mustRun(t, s)); n[1] != 2 {
		t.Fatalf("%d sends, want one before and one after the restart", n[1])
	}
}

func TestInvalidSettingsAreReported(t *testing.T) {
	s := &frameBuilder{}
	s.writeFrame(1000, beginRecord(1, 7, `{"classes": []}`), serverTable(1), cachedServerList(1))
	out := mustRun(t, s)
	if len(out) < 8 || binary.BigEndian.Uint16(out[4:]) != 1090 || !strings.Contains(string(out), "no classes") {
		t.Fatalf("reply %q", out)
	}
}

func TestInvalidInputStopsTheAdapter(t *testing.T) {
	notBegun := &frameBuilder{}
	notBegun.writeFrame(1000, requestRecord(4, 1))
	short := &frameBuilder{}
	short.writeFrame(math.Inf(1))
	for name, s := range map[string]*frameBuilder{"instance not begun": notBegun, "clock": short} {
		var out bytes.Buffer
		if err := run(&s.Buffer, &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: error %v, %d bytes of reply", name, err, out.Len())
		}
	}
}
