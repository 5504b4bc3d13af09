// Package graphite writes readings in the two forms that Graphite's receiver takes over TCP: lines of text, and pickled lists
// behind their length. It owns the series' paths and the bytes; it does no I/O.
//
// Counters go out twice: PATH.total, what they came to since the process began, and PATH.count, what they grew by in the
// interval. What is written again under the same path and time changes nothing, and a total heals what was lost before it.
package graphite

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"firplank/report"
)

// Form is how readings are written.
type Format uint8

// The forms.
const (
	Plaintext Format = iota
	Pickle
)

// mostComponent bounds an escaped name: receivers keep each as a folder or file, which may have 255 bytes with an ending.
const mostComponent = 200

// Encoder writes readings. It remembers the paths of rows, a few dozen bytes for each series. It is not safe for concurrent
// use.
type Encoder struct {
	form   Format
	prefix string
	tagged bool
	names  map[*report.Row][]series
}

// series is the path of a field, and for a counter that of its growth.
type series struct{ path, growth string }

// New returns an encoder. A prefix is written as it is, and then a dot. Tagged series have their labels behind the path, as
// Graphite 1.1 and later takes them.
func New(form Format, prefix string, tagged bool) *Encoder {
	return &Encoder{form: form, prefix: prefix, tagged: tagged, names: map[*report.Row][]series{}}
}

// Path returns the path of a figure; suffix is behind it, after a dot, where it is not empty.
func Path(prefix string, tagged bool, f *report.Family, labels []string, field, suffix string) string {
	parts := []string{prefix, f.Name}
	if prefix == "" {
		parts = parts[1:]
	}
	tags := ""
	for i, l := range labels {
		if tagged {
			tags += ";" + f.Labels[i] + "=" + report.Escape(l, mostComponent)
		} else {
			parts = append(parts, report.Escape(l, mostComponent))
		}
	}
	parts = append(parts, field)
	if suffix != "" {
		parts = append(parts, suffix)
	}
	return strings.Join(parts, ".") + tags
}

// The suffixes of counters.
const (
	TotalSuffix = "total"
	CountSuffix = "count"
)

func (e *Encoder) series(r *report.Row) []series {
	known, ok := e.names[r]
	if ok {
		return known
	}
	shown := len(r.Family.ShownCounters())
	for i, f := range r.Family.Fields() {
		s := series{path: Path(e.prefix, e.tagged, r.Family, r.Labels, f.Name, "")}
		if i < shown {
			s.path = Path(e.prefix, e.tagged, r.Family, r.Labels, f.Name, TotalSuffix)
			s.growth = Path(e.prefix, e.tagged, r.Family, r.Labels, f.Name, CountSuffix)
		}
		known = append(known, s)
	}
	e.names[r] = known
	return known
}

// Forget drops the paths of rows that are no more.
func (e *Encoder) Prune(rows []*report.Row) {
	if len(e.names) <= 2*len(rows) {
		return
	}
	kept := make(map[*report.Row][]series, len(rows))
	for _, r := range rows {
		if s, ok := e.names[r]; ok {
			kept[r] = s
		}
	}
	e.names = kept
}

// Append appends a reading to a buffer.
func (e *Encoder) Append(b []byte, r *report.Reading) []byte {
	w := &writer{form: e.form, b: b, at: r.End.Unix()}
	for i := range r.Rows {
		row := &r.Rows[i]
		names := e.series(row.Row)
		for k, total := range row.Totals {
			w.whole(names[k].path, total)
			w.whole(names[k].growth, row.Deltas[k])
		}
		for k, v := range row.Gauges {
			if !math.IsNaN(v) {
				w.float(names[len(row.Totals)+k].path, v)
			}
		}
	}
	w.end()
	return w.b
}

// mostPickled is how many points a pickled list holds; receivers take lists of 1 MiB.
const mostPickled = 1000

// writer writes points.
type writer struct {
	form  Format
	b     []byte
	at    int64 // Unix seconds
	begin int   // of the open list's length
	n     int   // points in it
}

func (w *writer) whole(path string, v int64) {
	if w.form == Plaintext {
		w.b = append(append(w.b, path...), ' ')
		w.b = strconv.AppendInt(w.b, v, 10)
		w.stamp()
		return
	}
	w.open(path)
	w.b = appendInt(w.b, v)
	w.close()
}

func (w *writer) float(path string, v float64) {
	if w.form == Plaintext {
		w.b = append(append(w.b, path...), ' ')
		w.b = strconv.AppendFloat(w.b, v, 'f', -1, 64)
		w.stamp()
		return
	}
	w.open(path)
	w.b = binary.BigEndian.AppendUint64(append(w.b, 'G'), math.Float64bits(v)) // BINFLOAT
	w.close()
}

func (w *writer) stamp() {
	w.b = strconv.AppendInt(append(w.b, ' '), w.at, 10)
	w.b = append(w.b, '\n')
}

// open begins a point of a pickled list, (path, (time, value)), by protocol 2.
func (w *writer) open(path string) {
	if w.n == 0 {
		w.begin = len(w.b)
		w.b = append(w.b, 0, 0, 0, 0, 0x80, 2, ']', '(') // length, PROTO 2, EMPTY_LIST, MARK
	}
	w.b = binary.LittleEndian.AppendUint32(append(w.b, 'X'), uint32(len(path))) // BINUNICODE
	w.b = appendInt(append(w.b, path...), w.at)
}

func (w *writer) close() {
	w.b = append(w.b, 0x86, 0x86) // TUPLE2 twice
	if w.n++; w.n == mostPickled {
		w.end()
	}
}

// end ends the open list.
func (w *writer) end() {
	if w.n == 0 {
		return
	}
	w.b = append(w.b, 'e', '.') // APPENDS, STOP
	binary.BigEndian.PutUint32(w.b[w.begin:], uint32(len(w.b)-w.begin-4))
	w.n = 0
}

// appendInt writes BININT where that holds the number, else LONG1 of 8 bytes.
func appendInt(b []byte, v int64) []byte {
	if v >= math.MinInt32 && v <= math.MaxInt32 {
		return binary.LittleEndian.AppendUint32(append(b, 'J'), uint32(int32(v)))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0x8a, 8), uint64(v))
}
