package collectd

import (
	"bytes"
	"encoding/hex"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cedararch/lab/receiver"
)

// The bytes of a packet, made by hand of the protocol's description.
func TestPacket(t *testing.T) {
	l := []List{{
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
	packets, _, err := NewEncoder(0, nil).Packets(l)
	if err != nil || len(packets) != 1 || hex.EncodeToString(packets[0]) != want {
		t.Errorf("%d packets, %v:\n%x, want\n%s", len(packets), err, packets, want)
	}
}

func lists(t *rapid.T) []List {
	name := rapid.StringMatching(`[a-zA-Z0-9_%]{1,63}`)
	value := rapid.Custom(func(t *rapid.T) Value {
		v := Value{Type: Type(rapid.IntRange(0, 3).Draw(t, "type")), Int: rapid.Int64Range(0, 1<<50).Draw(t, "int")}
		if v.Type == Gauge {
			v = Value{Type: Gauge, Gauge: rapid.Float64().Draw(t, "gauge")}
		}
		return v
	})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) List {
		return List{
			Host: "host", Plugin: "firplank", PluginInstance: rapid.OneOf(rapid.Just(""), name).Draw(t, "instance"), Type: name.Draw(t, "type"),
			TypeInstance: rapid.OneOf(rapid.Just(""), name).Draw(t, "of"), Time: time.Unix(rapid.Int64Range(0, 1<<32).Draw(t, "at"), 0),
			Interval: time.Duration(rapid.IntRange(1, 3600).Draw(t, "interval")) * time.Second, Values: rapid.SliceOfN(value, 1, 20).Draw(t, "values"),
		}
	}), 1, 60).Draw(t, "lists")
}

// Whatever is told is read back by a receiver, whole, in packets within the bound, plain, signed and encrypted; with another
// password nothing is.
func TestReceiversReadPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		security := Security(rapid.IntRange(0, 2).Draw(t, "security"))
		all, size := lists(t), rapid.IntRange(1024, 4000).Draw(t, "size")
		packets, tooLong, err := NewEncoder(size, NewSeal(security, "monitor", "secret")).Packets(all)
		if err != nil || tooLong > 0 {
			t.Fatal(tooLong, err)
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
					told := float64(v.Int)
					if v.Type == Gauge {
						told = v.Gauge
					}
					if l.Values[i] != told || int(l.Kinds[i]) != int(v.Type) {
						t.Fatalf("value %d is %v of kind %d, want %+v", i, l.Values[i], l.Kinds[i], v)
					}
				}
				n++
			}
			if security == Plain {
				continue
			}
			if _, err := (receiver.Users{"monitor": "other"}).Decode(p); err == nil {
				t.Fatal("read with another password")
			}
			bad := bytes.Clone(p)
			bad[len(bad)-1] ^= 1
			if _, err := users.Decode(bad); err == nil {
				t.Fatal("read although it was altered")
			}
		}
		if n != len(all) {
			t.Fatalf("%d of %d lists", n, len(all))
		}
	})
}

// The socket's lines are read back too, and a gauge that is not there is undefined.
func TestPutval(t *testing.T) {
	l := List{
		Host: "h", Plugin: "firplank", PluginInstance: "a%20b", Type: "t", Time: time.Unix(2, 0), Interval: 10 * time.Second,
		Values: []Value{{Type: Derive, Int: 7}, {Type: Gauge, Gauge: math.NaN()}, {Type: Gauge, Gauge: 0.5}},
	}
	const want = `PUTVAL "h/firplank-a%20b/t" interval=10.000 2.000:7:U:0.5` + "\n"
	if got := string(AppendPutval(nil, &l)); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		for _, l := range lists(t) {
			got, err := receiver.ParsePutval(strings.TrimSuffix(string(AppendPutval(nil, &l)), "\n"))
			if err != nil || len(got.Values) != len(l.Values) || !got.At.Equal(l.Time) {
				t.Fatalf("%+v, %v", got, err)
			}
		}
	})
}

// What operators add to types.db is what is sent.
func TestTypesFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/monitoring/types.db")
	if err != nil || string(text) != TypesDB() {
		t.Errorf("%v: deploy/monitoring/types.db is not what `firplank metrics types` prints:\n%s", err, TypesDB())
	}
}
