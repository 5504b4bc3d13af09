// Package output writes text for users: the commands' results and the laboratory's reports. A Printer keeps the first error of
// its writer, so that a command checks it once at the end instead of after each line. The types are not safe for concurrent
// use.
package output

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Printer formats like the functions of package fmt with the same names. After an error it writes nothing more.
type Printer struct {
	to  io.Writer
	err error
}

// New returns a Printer that writes to the writer to.
func New(to io.Writer) *Printer { return &Printer{to: to} }

// Write implements io.Writer.
func (p *Printer) Write(text []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	n, err := p.to.Write(text)
	p.err = err
	return n, err
}

// Printf is like fmt.Fprintf, but returns nothing; see Err.
func (p *Printer) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p, format, args...) // Write keeps the error
}

// Print is like fmt.Fprint, but returns nothing; see Err.
func (p *Printer) Print(args ...any) {
	_, _ = fmt.Fprint(p, args...) // Write keeps the error
}

// Println is like fmt.Fprintln, but returns nothing; see Err.
func (p *Printer) Println(args ...any) {
	_, _ = fmt.Fprintln(p, args...) // Write keeps the error
}

// Err returns the first error, or nil.
func (p *Printer) Err() error { return p.err }

// Table is a Printer whose tab-separated cells are aligned in columns when it is flushed.
type Table struct {
	Printer
	columns *tabwriter.Writer
}

// NewTable returns a Table with the parameters of tabwriter.NewWriter.
func NewTable(to io.Writer, minWidth, tabWidth, padding int, padChar byte, flags uint) *Table {
	columns := tabwriter.NewWriter(to, minWidth, tabWidth, padding, padChar, flags)
	return &Table{Printer: Printer{to: columns}, columns: columns}
}

// Flush writes the aligned cells and returns the first error of the whole table.
func (t *Table) Flush() error {
	if err := t.columns.Flush(); t.err == nil {
		t.err = err
	}
	return t.err
}
