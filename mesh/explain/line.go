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
	// maxLineBytes bounds a line. A longer one is an error.
	maxLineBytes = 64 << 10
	// maxLines bounds the lines of one log. More are an error.
	maxLines = 1 << 20
	// initialBuffer is the initial size of the line buffer, in bytes.
	initialBuffer = 4 << 10
)

// Line is one line of a program's log.
type Line struct {
	At     time.Time      // by the clock of the node's machine
	Node   string         // the node that wrote the line
	Msg    string         // the message
	Fields map[string]any // all fields of the JSON object, msg and ts among them
}

// field returns the first of the named fields that the line has, as text. It returns "" if the line has none of them.
func (l *Line) field(names ...string) string {
	for _, name := range names {
		if v, ok := l.Fields[name]; ok {
			return fmt.Sprint(v)
		}
	}
	return ""
}

// Read reads the lines of one log. If text precedes the JSON object of a line, its last word is the name of the line's node; otherwise the
// node is the given one. Lines that are not log lines are skipped and counted. Read returns an error if reading fails, or if the log or a
// line is too long.
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

// parseLine parses a log line. It returns ok false if text is not one.
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

// Sort sorts the lines of several logs by time and then by node. The clocks of different machines may differ.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
}

// FilterByName returns the lines that the named node has written, and those with a field whose value is the name. It may also be the name
// of an attempt or a server.
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
