package main

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"time"

	"firplank/internal/options"
	"firplank/internal/output"
	"firplank/internal/reporting"
	"firplank/internal/sidecar"
	"firplank/report"
	"firplank/report/collectd"
	"firplank/report/graphite"
)

// metricsCommand groups the commands for the metrics that are reported to monitoring.
type metricsCommand struct {
	Names metricNamesCommand   `cmd:"" help:"List all series that the configuration can produce, with unit and meaning."`
	Types collectdTypesCommand `cmd:"" help:"Print the lines to add to collectd's types.db."`
}

type collectdTypesCommand struct{}

func (collectdTypesCommand) Run(out io.Writer) error {
	_, err := io.WriteString(out, collectd.TypesDB())
	return err
}

type metricNamesCommand struct{ configFlags }

// Run prints the Graphite path of each series with its kind, unit, labels and meaning. Label values that are known only at run time are
// printed as the label's name in angle brackets.
func (c *metricNamesCommand) Run(out io.Writer) error {
	cfg, err := sidecar.LoadAll(os.Getenv, c.Config)
	if err != nil {
		return err
	}
	shape := cfg.Shape()
	g := &cfg.Options.Graphite
	prefix := reporting.Prefix(cmp.Or(g.Prefix, options.DefaultPrefix), cfg.Name, time.Now())
	w := output.NewTable(out, 0, 1, 2, ' ', 0)
	w.Println("path\tkind\tunit\tof\tmeaning")
	for _, f := range report.Families {
		rows := [][]string{nil}
		for _, label := range f.Labels {
			rows = appendLabelValues(rows, label, &shape)
		}
		counterCount := len(f.ShownCounters())
		for _, labels := range rows {
			labelText := ""
			for i, label := range labels { // the path may contain shortened, escaped values
				labelText += fmt.Sprintf("%s=%q ", f.Labels[i], label)
			}
			for i, field := range f.Fields() {
				meaning := f.Description + ": " + field.Description
				if i >= counterCount {
					w.Printf("%s\tgauge\t%s\t%s\t%s\n", seriesPath(prefix, g.Tags, f, labels, field.Name, ""), field.Unit, labelText, meaning)
					continue
				}
				w.Printf("%s\tcounter\t%s\t%s\t%s, since the process started\n",
					seriesPath(prefix, g.Tags, f, labels, field.Name, graphite.TotalSuffix), field.Unit, labelText, meaning)
				w.Printf("%s\tincrease\t%s\t%s\t%s, in the interval\n", seriesPath(prefix, g.Tags, f, labels, field.Name, graphite.CountSuffix),
					field.Unit, labelText, meaning)
			}
		}
	}
	return w.Flush()
}

// seriesPath returns the Graphite path of a series. Placeholders such as <server> are left unescaped.
func seriesPath(prefix string, tagged bool, f *report.Family, labels []string, field, suffix string) string {
	if len(labels) > 0 && labels[0][0] == '<' {
		parts := prefix + "." + f.Name
		for _, l := range labels {
			parts += "." + l
		}
		if parts += "." + field; suffix != "" {
			parts += "." + suffix
		}
		return parts
	}
	return graphite.Path(prefix, tagged, f, labels, field, suffix)
}

// appendLabelValues returns the rows of label values, each combined with every value of one more label.
func appendLabelValues(rows [][]string, label string, s *report.Config) (all [][]string) {
	values := []string{"<" + label + ">"}
	switch label {
	case "class":
		values = nil
		for i := range s.Classes {
			values = append(values, s.Classes[i].Name)
		}
	case "tenant":
		values = append(append([]string(nil), s.Tenants...), report.Overflow)
	}
	for _, r := range rows {
		for _, v := range values {
			all = append(all, append(append([]string(nil), r...), v))
		}
	}
	return all
}
