package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLineBytes bounds a line; a longer one is an error.
	maxLineBytes = 64 << 10
	// maxLines bounds the lines of one log; more are an error.
	maxLines = 1 << 20
	// initialBuffer is the size of the buffer for a line before it grows.
	initialBuffer = 4 << 10
)

// Line is one line of a program's log.
type Line struct {
	At     time.Time
	Node   string         // that wrote it
	Msg    string         // the message
	Fields map[string]any // all fields of the JSON object, msg and ts among them
}

// text returns the first of some fields that the line has, as text; empty: it has none of them.
func (l *Line) field(names ...string) string {
	for _, name := range names {
		if v, ok := l.Fields[name]; ok {
			return fmt.Sprint(v)
		}
	}
	return ""
}

// Read reads the lines of one log. What precedes the JSON object in a line ends with the name of its node; where nothing does, the line is
// of the node that is given. Lines that are not log lines are skipped, and counted. The error is the reader's, or that of a log or a line
// that is too long.
func Read(r io.Reader, node string) (lines []Line, skipped int, err error) {
	return read(r, node, maxLines)
}

func read(r io.Reader, node string, limit int) (lines []Line, skipped int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, initialBuffer), maxLineBytes)
	for in.Scan() {
		l, ok := parseLine(in.Text(), node)
		if !ok {
			skipped++
			continue
		}
		if len(lines) == limit {
			return lines, skipped, errors.Errorf("more than %d lines", limit)
		}
		lines = append(lines, l)
	}
	if err := in.Err(); err != nil {
		return lines, skipped, errors.Wrap(err, "read")
	}
	return lines, skipped, nil
}

// parseLine returns ok false where a text is no log line.
func parseLine(text, node string) (l Line, ok bool) {
	prefix, object, found := strings.Cut(text, "{")
	l.Node = node
	if fields := strings.Fields(prefix); len(fields) > 0 {
		l.Node = fields[len(fields)-1]
	}
	if !found || json.Unmarshal([]byte("{"+object), &l.Fields) != nil {
		return l, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.field("ts"))
	l.At, l.Msg = at, l.field("msg")
	return l, err == nil && l.Msg != ""
}

// Sort orders lines of several logs by the time at which they were written, by the clocks of their machines.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
}

// About returns the lines that a node has written, and those that name it, or an attempt or a server of that name, in any field.
func FilterByName(lines []Line, name string) (matching []Line) {
	for i := range lines {
		if l := &lines[i]; l.Node == name || l.mentions(name) {
			matching = append(matching, *l)
		}
	}
	return matching
}

func (l *Line) mentions(name string) bool {
	for _, v := range l.Fields {
		if fmt.Sprint(v) == name {
			return true
		}
	}
	return false
}
