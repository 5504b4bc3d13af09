// Package graphite encodes readings in the two protocols of Graphite's TCP receiver: plain text lines, and pickled lists with
// a length prefix. It owns the paths of series and the encoding; it does no I/O.
//
// A counter is sent as two series: PATH.total is its value since the start of the process, PATH.count its growth in the
// interval. Sending the same path and time again changes nothing, and a total is right even if earlier points were lost.
package graphite

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"firplank/report"
)

// Format is a protocol of Graphite's receiver.
type Format uint8

// The formats.
const (
	Plaintext Format = iota
	Pickle
)

// maxComponentBytes limits an escaped name. Receivers store each path component as a folder or file, whose name may have 255
// bytes including a suffix.
const maxComponentBytes = 200

// Encoder encodes readings. It caches the paths of rows, which need a few dozen bytes for each series. It isn't safe for
// concurrent use.
type Encoder struct {
	format Format
	prefix string
	tagged bool
	paths  map[*report.Row][]fieldPaths
}

// fieldPaths holds the path of a field's series; countPath is that of a counter's growth.
type fieldPaths struct{ path, countPath string }

// New returns an encoder. The prefix is written as it is, followed by a dot. Tagged series have their labels as tags after the
// path, which Graphite supports from version 1.1 on.
func New(format Format, prefix string, tagged bool) *Encoder {
	return &Encoder{format: format, prefix: prefix, tagged: tagged, paths: map[*report.Row][]fieldPaths{}}
}

// Path returns the path of a field's series, with a suffix after a dot unless it is empty.
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

// rowPaths returns the paths of a row's fields.
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

// Prune removes cached paths of rows that no longer exist.
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

// maxPointsPerList limits the points of a pickled list, as receivers accept lists of up to 1 MiB.
const maxPointsPerList = 1000

// writer appends points to a buffer.
type writer struct {
	format    Format
	b         []byte
	timestamp int64 // Unix seconds
	listStart int   // offset of the open list's length prefix
	points    int   // in the open list
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

// beginPoint writes the path and time of a point of a pickled list, which is (path, (time, value)), in pickle protocol 2.
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

// endList completes the open list and sets its length prefix.
func (w *writer) endList() {
	if w.points == 0 {
		return
	}
	w.b = append(w.b, 'e', '.') // APPENDS, STOP
	binary.BigEndian.PutUint32(w.b[w.listStart:], uint32(len(w.b)-w.listStart-4))
	w.points = 0
}

// appendInt writes v as BININT if it fits in 32 bits, else as LONG1 of 8 bytes.
func appendInt(b []byte, v int64) []byte {
	if v >= math.MinInt32 && v <= math.MaxInt32 {
		return binary.LittleEndian.AppendUint32(append(b, 'J'), uint32(int32(v)))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0x8a, 8), uint64(v))
}
