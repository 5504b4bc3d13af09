package graphite

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"net"
	"os/exec"
	"strings"
	"testing"
	"time"

	"firplank/lab/receiver"
	"firplank/report"
)

// reading returns the reading of one interval with one class.
func reading(class string, total, growth int64, gauge float64, at time.Time) *report.Reading {
	t := report.NewTable()
	f := &report.Family{
		Name: "requests", Labels: []string{"class"}, MaxRows: 10,
		Counters: []report.Field{{Name: "asked"}}, Gauges: []report.Field{{Name: "open"}},
	}
	t.Row(f, 0, class)
	return t.Render(at, 10*time.Second, []int64{growth}, []int64{total}, []float64{gauge})
}

var testTime = time.Unix(1_800_000_010, 0)

// Checks the bytes of both formats for a name that would be split into two path components without escaping.
func TestEncodedBytes(t *testing.T) {
	r := reading("permit.lookup v2", 70000, 3, 2.5, testTime)
	const path = "firplank.n1.requests.permit%2Elookup%20v2."
	want := path + "asked.total 70000 1800000010\n" + path + "asked.count 3 1800000010\n" + path + "open 2.5 1800000010\n"
	if got := string(New(Plaintext, "firplank.n1", false).Append(nil, r)); got != want {
		t.Errorf("lines\n%s", got)
	}
	// Written by hand from the protocol's description: PROTO 2, EMPTY_LIST, MARK; for each point BINUNICODE path, BININT time,
	// BININT or BINFLOAT value, TUPLE2, TUPLE2; APPENDS, STOP.
	point := func(field, value string) string {
		p := path + field
		return "58" + hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, uint32(len(p)))) +
			hex.EncodeToString([]byte(p)) + "4a0ad2496b" + value + "8686"
	}
	list := "80025d28" + point("asked.total", "4a70110100") + point("asked.count", "4a03000000") + point("open", "474004000000000000") + "652e"
	list = fmt.Sprintf("%08x", len(list)/2) + list
	if got := hex.EncodeToString(New(Pickle, "firplank.n1", false).Append(nil, r)); got != list {
		t.Errorf("pickled\n%s, want\n%s", got, list)
	}
	const tagged = "f.requests.asked.total;class=permit%2Elookup%20v2 70000 "
	if got := string(New(Plaintext, "f", true).Append(nil, r)); !strings.HasPrefix(got, tagged) {
		t.Errorf("tagged\n%s", got)
	}
	if got := string(New(Plaintext, "f", false).Append(nil, reading("a", 1, 1, math.NaN(), testTime))); strings.Contains(got, "open") {
		t.Errorf("a gauge without a value is sent:\n%s", got)
	}
}

// The receiver must decode from both formats what was encoded, for any name and number.
func FuzzForms(f *testing.F) {
	f.Add("plate-reserve", int64(1<<40), int64(5), 0.25)
	f.Add("a\nb \"c\" .;~{", int64(-1), int64(1<<31), -1e300)
	f.Fuzz(func(t *testing.T, class string, total, growth int64, gauge float64) {
		if math.IsNaN(gauge) || math.IsInf(gauge, 0) {
			return
		}
		r := reading(class, total, growth, gauge, testTime)
		names := New(Plaintext, "p", false).rowPaths(r.Rows[0].Row)
		lines := string(New(Plaintext, "p", false).Append(nil, r))
		if strings.Count(lines, "\n") != 3 {
			t.Fatalf("%q", lines)
		}
		text := New(Pickle, "p", false).Append(nil, r)
		list, err := receiver.Unpickle(text[4:])
		if err != nil || int(binary.BigEndian.Uint32(text)) != len(text)-4 {
			t.Fatal(err)
		}
		want := fmt.Sprint([]any{
			receiver.Tuple{names[0].path, receiver.Tuple{testTime.Unix(), total}},
			receiver.Tuple{names[0].countPath, receiver.Tuple{testTime.Unix(), growth}},
			receiver.Tuple{names[1].path, receiver.Tuple{testTime.Unix(), gauge}},
		})
		if got := fmt.Sprint(list); got != want {
			t.Fatalf("%s, want %s", got, want)
		}
	})
}

// A long reading is split into several lists, none longer than receivers accept.
func TestLongLists(t *testing.T) {
	table := report.NewTable()
	f := &report.Family{Name: "f", Labels: []string{"class"}, MaxRows: 5000, Counters: []report.Field{{Name: "n"}}}
	totals := make([]int64, 3000)
	for i := range totals {
		table.Row(f, 0, fmt.Sprint("class ", i))
		totals[i] = int64(i)
	}
	text := New(Pickle, "p", false).Append(nil, table.Render(testTime, time.Second, totals, totals, nil))
	points := 0
	for len(text) > 0 {
		n := int(binary.BigEndian.Uint32(text))
		list, err := receiver.Unpickle(text[4 : 4+n])
		if err != nil || n > 1<<20 {
			t.Fatalf("a list of %d bytes: %v", n, err)
		}
		points += len(list.([]any))
		text = text[4+n:]
	}
	if points != 6000 {
		t.Errorf("%d points", points)
	}
}

// Python's pickle module must decode a list, if Python is installed.
func TestPythonReadsPickles(t *testing.T) {
	python, err := exec.LookPath("python3")
	if err != nil {
		t.Skip("no python3")
	}
	text := New(Pickle, "p", false).Append(nil, reading("a b", 1<<40, 3, 2.5, testTime))
	cmd := exec.Command(python, "-c", "import pickle, sys; print(pickle.loads(sys.stdin.buffer.read()[4:]))")
	cmd.Stdin = strings.NewReader(string(text))
	out, err := cmd.CombinedOutput()
	const want = "[('p.requests.a%20b.asked.total', (1800000010, 1099511627776)), ('p.requests.a%20b.asked.count', " +
		"(1800000010, 3)), ('p.requests.a%20b.open', (1800000010, 2.5))]\n"
	if err != nil || string(out) != want {
		t.Errorf("%s, %v", out, err)
	}
}

// Any name must result in a series of its own that the receiver accepts.
func TestHostileNames(t *testing.T) {
	carbon, err := receiver.NewCarbon(false)
	if err != nil {
		t.Fatal(err)
	}
	defer carbon.Stop()
	names := []string{
		"permit.lookup v2", "permit%2Elookup v2", "permit_lookup_v2", `a"b'`, "a\nb", "a\tb;c=d", "", "%", "ü", "~", "*{x}[y]?",
		strings.Repeat("x.", 150), strings.Repeat("x.", 150) + ".", strings.Repeat("y", 300),
	}
	enc := New(Plaintext, "f", false)
	c, err := net.Dial("tcp", carbon.Addr())
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		_, _ = c.Write(enc.Append(nil, reading(n, 1, 1, 1, testTime)))
	}
	_ = c.Close()
	for end := time.Now().Add(10 * time.Second); len(carbon.Paths()) < 3*len(names) && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	paths := carbon.Paths()
	if same, other := carbon.Overwritten(); len(paths) != 3*len(names) || same+other > 0 || len(carbon.Malformed()) > 0 {
		t.Errorf("%d series for %d names, malformed: %v", len(paths), len(names), carbon.Malformed())
	}
	for _, p := range paths {
		for _, part := range strings.Split(p, ".") {
			if len(part) > 200 {
				t.Errorf("%d bytes: %s", len(part), part)
			}
		}
		if strings.Count(p, ".") != 3 && strings.Count(p, ".") != 4 {
			t.Errorf("wrong number of path components: %s", p)
		}
	}
}

// An interval of the largest table that the bounds allow, with 500 classes and 100 tenants.
func BenchmarkAppendLargest(b *testing.B) {
	s := report.Config{}
	for i := range 500 {
		s.Classes = append(s.Classes, report.Class{Name: fmt.Sprint("class ", i), Value: 1})
	}
	for i := range 100 {
		s.Tenants = append(s.Tenants, fmt.Sprint("tenant ", i))
	}
	c, table := report.New(s), report.NewTable()
	for class := range s.Classes {
		for tenant := range s.Tenants {
			c.RequestReceived(class, tenant, false)
		}
	}
	sample := c.Collect(table, &report.State{Time: testTime})
	r := table.Render(testTime, 10*time.Second, sample.Counters, sample.Counters, sample.Gauges)
	for _, form := range []Format{Plaintext, Pickle} {
		enc, text := New(form, "firplank.n1", false), []byte(nil)
		b.Run(fmt.Sprint(form), func(b *testing.B) {
			for b.Loop() {
				text = enc.Append(text[:0], r)
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}
