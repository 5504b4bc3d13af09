// Package timeline reads timelines that are drawn as text, one column a process and one row a moment, for tests. It
// owns the drawing; what is done in a cell is for the test.
//
//	at    a       b       c
//	0     up      .       up
//	1     .       up      .
//	2.5   .       kill    .
//
// Begin with Parse.
package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Row is a moment: what each column does then. A point says that it does nothing.
type Row struct {
	At    time.Duration
	Cells []string
}

// Drawing is a timeline.
type Timeline struct {
	Columns []string
	Rows    []Row
}

// Parse reads a drawing, whose first line names the columns and whose times are in seconds and rise.
func Parse(text string) (*Timeline, error) {
	d := &Timeline{}
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return nil, fmt.Errorf("line %d: %q is no row", i+1, line)
		}
		if i == 0 {
			d.Columns = fields[1:]
			continue
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		if err != nil || len(fields) != len(d.Columns)+1 {
			return nil, fmt.Errorf("line %d: %q has no time, or not a cell for each of %d columns", i+1, line, len(d.Columns))
		}
		row := Row{At: time.Duration(at * float64(time.Second)), Cells: fields[1:]}
		if n := len(d.Rows); n > 0 && row.At < d.Rows[n-1].At {
			return nil, fmt.Errorf("line %d: the time goes back", i+1)
		}
		d.Rows = append(d.Rows, row)
	}
	return d, nil
}

// Play calls do for each cell that is not a point, and step for each moment between, until the last row.
func (d *Timeline) Run(tick time.Duration, step func(now time.Duration), do func(now time.Duration, column int, cell string)) {
	now := time.Duration(0)
	for _, row := range d.Rows {
		for ; now < row.At; now += tick {
			step(now)
		}
		for i, cell := range row.Cells {
			if cell != "." {
				do(now, i, cell)
			}
		}
	}
	step(now)
}
