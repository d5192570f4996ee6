package command

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

const columnPadding = 2

// PrintJSON prints v as indented JSON, with object members in a stable order.
func (s Streams) PrintJSON(v any) error {
	b, err := json.Marshal(v, jsontext.Multiline(true), jsontext.WithIndent("  "), json.Deterministic(true))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.Out, "%s\n", b)
	return err
}

// PrintTable prints rows. On a terminal, columns are aligned below a header; otherwise, rows
// are tab-separated and have no header, for use by scripts.
func (s Streams) PrintTable(header []string, rows [][]string) error {
	if !s.OutIsTerminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
