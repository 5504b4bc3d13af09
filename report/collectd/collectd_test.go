package collectd

import (
	"bytes"
	"encoding/hex"
	"errors"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"firplank/lab/receiver"
	"firplank/report"
)

// Compares a packet with bytes written by hand from the protocol's description.
func TestPacket(t *testing.T) {
	l := []ValueList{{
		Host: "h", Plugin: "p", Type: "t", Time: time.Unix(2, 500_000_000), Interval: 10 * time.Second,
		Values: []Value{{Type: Derive, Int: 258}, {Type: Gauge, Gauge: 1}},
	}, {
		Host: "h", Plugin: "p", PluginInstance: "i", Type: "t", Time: time.Unix(2, 500_000_000), Interval: 10 * time.Second,
		Values: []Value{{Type: Counter, Int: 1}, {Type: Absolute, Int: 2}},
	}}
	want := strings.Join([]string{
		"0000" + "0006" + "6800", "0002" + "0006" + "7000", "0003" + "0005" + "00", "0004" + "0006" + "7400", "0005" + "0005" + "00",
		"0008" + "000c" + "00000000a0000000", "0009" + "000c" + "0000000280000000",
		"0006" + "0018" + "0002" + "02" + "01" + "0000000000000102" + "000000000000f03f", // a gauge is little-endian
		"0003" + "0006" + "6900", "0006" + "0018" + "0002" + "00" + "03" + "0000000000000001" + "0000000000000002",
	}, "")
	packets, err := NewEncoder(0, nil).Packets(l)
	if err != nil || len(packets) != 1 || hex.EncodeToString(packets[0]) != want {
		t.Errorf("%d packets, %v:\n%x, want\n%s", len(packets), err, packets, want)
	}
}

func drawValueLists(t *rapid.T) []ValueList {
	name := rapid.StringMatching(`[a-zA-Z0-9_%]{1,63}`)
	value := rapid.Custom(func(t *rapid.T) Value {
		v := Value{Type: Type(rapid.IntRange(0, 3).Draw(t, "type")), Int: rapid.Int64Range(0, 1<<50).Draw(t, "int")}
		if v.Type == Gauge {
			v = Value{Type: Gauge, Gauge: rapid.Float64().Draw(t, "gauge")}
		}
		return v
	})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ValueList {
		return ValueList{
			Host: "host", Plugin: "firplank", PluginInstance: rapid.OneOf(rapid.Just(""), name).Draw(t, "instance"), Type: name.Draw(t, "type"),
			TypeInstance: rapid.OneOf(rapid.Just(""), name).Draw(t, "of"), Time: time.Unix(rapid.Int64Range(0, 1<<32).Draw(t, "at"), 0),
			Interval: time.Duration(rapid.IntRange(1, 3600).Draw(t, "interval")) * time.Second,
			Values:   rapid.SliceOfN(value, 1, 20).Draw(t, "values"),
		}
	}), 1, 60).Draw(t, "lists")
}

// A receiver must read back every value list from plain, signed and encrypted packets within the size limit. It must reject
// signed and encrypted packets that have another password or were altered.
func TestReceiversReadPackets(t *testing.T) { rapid.Check(t, checkReceiversRead) }

func FuzzReceiversReadPackets(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkReceiversRead)) }

func checkReceiversRead(t *rapid.T) {
	security := Security(rapid.IntRange(0, 2).Draw(t, "security"))
	all, size := drawValueLists(t), rapid.IntRange(1024, 4000).Draw(t, "size")
	packets, err := NewEncoder(size, NewSealer(security, "monitor", "secret")).Packets(all)
	if err != nil {
		t.Fatal(err)
	}
	var users receiver.Users
	if security != Plain {
		users = receiver.Users{"monitor": "secret"}
	}
	n := 0
	for _, p := range packets {
		got, err := users.Decode(p)
		if err != nil || len(p) > size {
			t.Fatalf("%d bytes: %v", len(p), err)
		}
		for _, l := range got {
			want := &all[n]
			if !strings.Contains(l.ID, want.Type) || !l.At.Equal(want.Time) || l.Interval != want.Interval || len(l.Values) != len(want.Values) {
				t.Fatalf("%+v, want %+v", l, want)
			}
			for i, v := range want.Values {
				sent := float64(v.Int)
				if v.Type == Gauge {
					sent = v.Gauge
				}
				if l.Values[i] != sent || int(l.Kinds[i]) != int(v.Type) {
					t.Fatalf("value %d is %v of kind %d, want %+v", i, l.Values[i], l.Kinds[i], v)
				}
			}
			n++
		}
		if security == Plain {
			continue
		}
		if _, err := (receiver.Users{"monitor": "other"}).Decode(p); err == nil {
			t.Fatal("decoded with another password")
		}
		bad := bytes.Clone(p)
		bad[len(bad)-1] ^= 1
		if _, err := users.Decode(bad); err == nil {
			t.Fatal("decoded although it was altered")
		}
	}
	if n != len(all) {
		t.Fatalf("%d of %d value lists", n, len(all))
	}
}

// The socket's lines must be read back too. A gauge without a value is undefined (U).
func TestPutval(t *testing.T) {
	l := ValueList{
		Host: "h", Plugin: "firplank", PluginInstance: "a%20b", Type: "t", Time: time.Unix(2, 0), Interval: 10 * time.Second,
		Values: []Value{{Type: Derive, Int: 7}, {Type: Gauge, Gauge: math.NaN()}, {Type: Gauge, Gauge: 0.5}},
	}
	const want = `PUTVAL "h/firplank-a%20b/t" interval=10.000 2.000:7:U:0.5` + "\n"
	if got := string(AppendPutval(nil, &l)); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		for _, l := range drawValueLists(t) {
			got, err := receiver.ParsePutval(strings.TrimSuffix(string(AppendPutval(nil, &l)), "\n"))
			if err != nil || len(got.Values) != len(l.Values) || !got.At.Equal(l.Time) {
				t.Fatalf("%+v, %v", got, err)
			}
		}
	})
}

// The types.db that operators install must match the encoded types.
func TestTypesFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/monitoring/types.db")
	if err != nil || string(text) != TypesDB() {
		t.Errorf("%v: deploy/monitoring/types.db is not what `firplank metrics types` prints:\n%s", err, TypesDB())
	}
}

// Any pair of names must have identifiers of its own, also for late values, in one line and in fields that receivers don't
// truncate.
func TestHostileNames(t *testing.T) {
	names := []string{
		"permit.lookup v2", "permit%2Elookup v2", `a"b`, "a\nb", "a/b-c", "", "late", "%late", strings.Repeat("x.", 150),
		strings.Repeat("x.", 150) + ".",
	}
	table, seen := report.NewTable(), map[string]bool{}
	for _, class := range names {
		for _, tenant := range names {
			table.Row(report.Tenants, 0, class, tenant)
		}
	}
	counters, gauges := table.Sizes()
	r := table.Render(time.Unix(10, 0), time.Second, make([]int64, counters), make([]int64, counters), make([]float64, gauges))
	for _, late := range []bool{false, true} {
		for _, l := range ValueLists("h", time.Second, r, late) {
			line := string(AppendPutval(nil, &l))
			got, err := receiver.ParsePutval(strings.TrimSuffix(line, "\n"))
			if err != nil || strings.Count(line, "\n") != 1 || len(l.PluginInstance) > 63 || len(l.TypeInstance) > 63 {
				t.Fatalf("%q: %v", line, err)
			}
			seen[got.ID] = true
		}
	}
	if want := 2 * len(names) * len(names); len(seen) != want {
		t.Errorf("%d identifiers, want %d", len(seen), want)
	}
}

// A value list that doesn't fit in a packet is an error and isn't silently left out.
func TestTooLongList(t *testing.T) {
	l := ValueList{Host: "h", Plugin: "p", Type: "t", Values: make([]Value, 200)}
	if packets, err := NewEncoder(1024, nil).Packets([]ValueList{l}); !errors.Is(err, ErrTooLong) || packets != nil {
		t.Errorf("%d packets, %v", len(packets), err)
	}
}
