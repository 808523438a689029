package cli

import (
	"encoding/json"
	"fmt"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// table is the human form of an answer.
type table struct {
	header []string
	rows   [][]string
	// notes are printed below, one a line.
	notes []string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, cell := range cells {
		row = append(row, fmt.Sprint(cell))
	}
	t.rows = append(t.rows, row)
}

func (t *table) note(format string, arguments ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, arguments...))
}

// print writes an answer in the form that --output asks for.
func (a *application) print(answer any, render func() table) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.streams.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	return a.printTable(render())
}

func (a *application) printTable(content table) error {
	if len(content.header) > 0 {
		writer := tablewriter.NewTable(a.streams.Out,
			tablewriter.WithRendition(tw.Rendition{
				Borders:  tw.BorderNone,
				Settings: tw.Settings{Separators: tw.SeparatorsNone, Lines: tw.LinesNone},
			}),
			tablewriter.WithHeaderAlignment(tw.AlignLeft),
			tablewriter.WithRowAlignment(tw.AlignLeft),
			tablewriter.WithRowAutoWrap(tw.WrapNone),
		)
		writer.Header(content.header)
		if err := writer.Bulk(content.rows); err != nil {
			return err
		}
		if err := writer.Render(); err != nil {
			return err
		}
	}
	for _, note := range content.notes {
		if _, err := fmt.Fprintln(a.streams.Out, note); err != nil {
			return err
		}
	}
	return nil
}
