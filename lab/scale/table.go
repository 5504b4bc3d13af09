package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// table writes a table with aligned columns. Write errors are ignored, because reports go to standard output and there is
// no other place to report them.
type table struct{ w *tabwriter.Writer }

// newTable returns a table. The flags are 0 for cells aligned left, or tabwriter.AlignRight.
func newTable(out io.Writer, flags uint) table {
	const tabWidth, padding = 8, 2
	return table{tabwriter.NewWriter(out, 0, tabWidth, padding, ' ', flags)}
}

func (t table) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format, args...) }

func (t table) flush() { _ = t.w.Flush() }
