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
const maxComponentBytes = 200

// Encoder writes readings. It remembers the paths of rows, a few dozen bytes for each series. It is not safe for concurrent
// use.
type Encoder struct {
	format Format
	prefix string
	tagged bool
	paths  map[*report.Row][]fieldPaths
}

// series is the path of a field, and for a counter that of its growth.
type fieldPaths struct{ path, countPath string }

// New returns an encoder. A prefix is written as it is, and then a dot. Tagged series have their labels behind the path, as
// Graphite 1.1 and later takes them.
func New(format Format, prefix string, tagged bool) *Encoder {
	return &Encoder{format: format, prefix: prefix, tagged: tagged, paths: map[*report.Row][]fieldPaths{}}
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
			tags += ";" + f.Labels[i] + "=" + report.Escape(l, maxComponentBytes)
		} else {
			parts = append(parts, report.Escape(l, maxComponentBytes))
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

func (e *Encoder) rowPaths(r *report.Row) []fieldPaths {
	known, ok := e.paths[r]
	if ok {
		return known
	}
	shown := len(r.Family.ShownCounters())
	for i, f := range r.Family.Fields() {
		s := fieldPaths{path: Path(e.prefix, e.tagged, r.Family, r.Labels, f.Name, "")}
		if i < shown {
			s.path = Path(e.prefix, e.tagged, r.Family, r.Labels, f.Name, TotalSuffix)
			s.countPath = Path(e.prefix, e.tagged, r.Family, r.Labels, f.Name, CountSuffix)
		}
		known = append(known, s)
	}
	e.paths[r] = known
	return known
}

// Forget drops the paths of rows that are no more.
func (e *Encoder) Prune(rows []*report.Row) {
	if len(e.paths) <= 2*len(rows) {
		return
	}
	kept := make(map[*report.Row][]fieldPaths, len(rows))
	for _, r := range rows {
		if s, ok := e.paths[r]; ok {
			kept[r] = s
		}
	}
	e.paths = kept
}

// Append appends a reading to a buffer.
func (e *Encoder) Append(b []byte, r *report.Reading) []byte {
	w := &writer{format: e.format, b: b, timestamp: r.End.Unix()}
	for i := range r.Rows {
		row := &r.Rows[i]
		names := e.rowPaths(row.Row)
		for k, total := range row.Totals {
			w.writeInt(names[k].path, total)
			w.writeInt(names[k].countPath, row.Deltas[k])
		}
		for k, v := range row.Gauges {
			if !math.IsNaN(v) {
				w.writeFloat(names[len(row.Totals)+k].path, v)
			}
		}
	}
	w.endList()
	return w.b
}

// mostPickled is how many points a pickled list holds; receivers take lists of 1 MiB.
const maxPointsPerList = 1000

// writer writes points.
type writer struct {
	format    Format
	b         []byte
	timestamp int64 // Unix seconds
	listStart int   // of the open list's length
	points    int   // points in it
}

func (w *writer) writeInt(path string, v int64) {
	if w.format == Plaintext {
		w.b = append(append(w.b, path...), ' ')
		w.b = strconv.AppendInt(w.b, v, 10)
		w.writeTimestamp()
		return
	}
	w.beginPoint(path)
	w.b = appendInt(w.b, v)
	w.endPoint()
}

func (w *writer) writeFloat(path string, v float64) {
	if w.format == Plaintext {
		w.b = append(append(w.b, path...), ' ')
		w.b = strconv.AppendFloat(w.b, v, 'f', -1, 64)
		w.writeTimestamp()
		return
	}
	w.beginPoint(path)
	w.b = binary.BigEndian.AppendUint64(append(w.b, 'G'), math.Float64bits(v)) // BINFLOAT
	w.endPoint()
}

func (w *writer) writeTimestamp() {
	w.b = strconv.AppendInt(append(w.b, ' '), w.timestamp, 10)
	w.b = append(w.b, '\n')
}

// open begins a point of a pickled list, (path, (time, value)), by protocol 2.
func (w *writer) beginPoint(path string) {
	if w.points == 0 {
		w.listStart = len(w.b)
		w.b = append(w.b, 0, 0, 0, 0, 0x80, 2, ']', '(') // length, PROTO 2, EMPTY_LIST, MARK
	}
	w.b = binary.LittleEndian.AppendUint32(append(w.b, 'X'), uint32(len(path))) // BINUNICODE
	w.b = appendInt(append(w.b, path...), w.timestamp)
}

func (w *writer) endPoint() {
	w.b = append(w.b, 0x86, 0x86) // TUPLE2 twice
	if w.points++; w.points == maxPointsPerList {
		w.endList()
	}
}

// end ends the open list.
func (w *writer) endList() {
	if w.points == 0 {
		return
	}
	w.b = append(w.b, 'e', '.') // APPENDS, STOP
	binary.BigEndian.PutUint32(w.b[w.listStart:], uint32(len(w.b)-w.listStart-4))
	w.points = 0
}

// appendInt writes BININT where that holds the number, else LONG1 of 8 bytes.
func appendInt(b []byte, v int64) []byte {
	if v >= math.MinInt32 && v <= math.MaxInt32 {
		return binary.LittleEndian.AppendUint32(append(b, 'J'), uint32(int32(v)))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0x8a, 8), uint64(v))
}
