// Package timeline parses timelines that tests draw as text, with a column for each process and a row for each time. The
// meaning of the cells is defined by the test.
//
//	at    a       b       c
//	0     up      .       up
//	1     .       up      .
//	2.5   .       kill    .
//
// Start reading at Parse.
package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Row holds the action of each column at a time. A "." is no action.
type Row struct {
	At    time.Duration
	Cells []string
}

// Timeline is a parsed timeline.
type Timeline struct {
	Columns []string
	Rows    []Row
}

// Parse parses a timeline. The first line names the columns. The times of the rows are in seconds and must not decrease.
func Parse(text string) (*Timeline, error) {
	d := &Timeline{}
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return nil, fmt.Errorf("line %d: %q is not a row", i+1, line)
		}
		if i == 0 {
			d.Columns = fields[1:]
			continue
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		if err != nil || len(fields) != len(d.Columns)+1 {
			return nil, fmt.Errorf("line %d: %q does not have a time and a cell for each of %d columns", i+1, line, len(d.Columns))
		}
		row := Row{At: time.Duration(at * float64(time.Second)), Cells: fields[1:]}
		if n := len(d.Rows); n > 0 && row.At < d.Rows[n-1].At {
			return nil, fmt.Errorf("line %d: time is before that of the preceding row", i+1)
		}
		d.Rows = append(d.Rows, row)
	}
	return d, nil
}

// Run calls do for each cell other than ".", and step at every tick before each row and once after the last row.
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
