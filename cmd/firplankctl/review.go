package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"firplank/internal/output"
	"firplank/mesh/explain"
)

type reviewCommand struct {
	Logs  []string `arg:"" help:"${logsHelp}"`
	About string   `help:"Show the lines that name this request, server or node, instead of the findings."`
}

// Run prints the findings and their timeline, or only the log lines that name c.About.
func (c *reviewCommand) Run(out io.Writer) error {
	var lines []explain.Line
	skipped := 0
	for _, path := range c.Logs {
		read, skippedInFile, err := readLog(path)
		if err != nil {
			return errors.Wrap(err, path)
		}
		lines, skipped = append(lines, read...), skipped+skippedInFile
	}
	explain.Sort(lines)
	if c.About != "" {
		return printLines(out, explain.FilterByName(lines, c.About))
	}
	printer := output.New(out)
	findings := explain.Find(lines)
	for i := range findings {
		printer.Println(findings[i].String())
	}
	if len(findings) == 0 {
		printer.Printf("no findings in %d lines\n", len(lines))
	}
	printer.Print(explain.Draw(findings))
	if skipped > 0 {
		printer.Printf("skipped %d lines that are not log lines\n", skipped)
	}
	return printer.Err()
}

func printLines(out io.Writer, lines []explain.Line) error {
	printer := output.New(out)
	for i := range lines {
		text, err := json.Marshal(lines[i].Fields)
		if err != nil {
			return err
		}
		printer.Printf("%s %s\n", lines[i].Node, text)
	}
	return printer.Err()
}

// readLog reads a log file, whose name without extension is the default node. The path "-" is standard input. skipped counts the lines
// that are not log lines.
func readLog(path string) (lines []explain.Line, skipped int, err error) {
	if path == "-" {
		return explain.Read(os.Stdin, "stdin")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = f.Close() }() // the file is only read
	return explain.Read(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
}
