package output

import (
	"errors"
	"strings"
	"testing"
	"text/tabwriter"
)

var errFull = errors.New("full")

// limitedWriter accepts a number of writes and fails after them.
type limitedWriter struct {
	strings.Builder
	writesLeft int
}

func (l *limitedWriter) Write(text []byte) (int, error) {
	if l.writesLeft == 0 {
		return 0, errFull
	}
	l.writesLeft--
	return l.Builder.Write(text)
}

func TestPrinterKeepsTheFirstError(t *testing.T) {
	to := &limitedWriter{writesLeft: 2}
	p := New(to)
	p.Printf("%d of %d\n", 1, 2)
	p.Println("two")
	if p.Err() != nil {
		t.Fatal(p.Err())
	}
	p.Print("three")
	to.writesLeft = 1
	p.Print("four")
	if !errors.Is(p.Err(), errFull) || to.String() != "1 of 2\ntwo\n" {
		t.Errorf("%v, wrote %q", p.Err(), to.String())
	}
}

func TestTableAlignsAndReportsItsError(t *testing.T) {
	to := &limitedWriter{writesLeft: 100}
	table := NewTable(to, 0, 8, 2, ' ', tabwriter.AlignRight)
	table.Println("a\tbb\t")
	table.Printf("%s\t%d\t\n", "long", 1)
	if err := table.Flush(); err != nil || to.String() != "     a  bb\n  long   1\n" {
		t.Errorf("%v, wrote %q", err, to.String())
	}
	full := NewTable(&limitedWriter{}, 0, 8, 2, ' ', 0)
	full.Println("a\tb")
	if err := full.Flush(); !errors.Is(err, errFull) {
		t.Errorf("a table on a full writer: %v", err)
	}
}
