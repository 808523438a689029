package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/explain"
)

func (a *application) explainCommand() *cobra.Command {
	var logs []string
	command := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Say from logs what became of a request",
		Long: "Put the log lines of one request, from the logs of any processes, in order and\n" +
			"state the cause of its outcome in one sentence. Without --logs the log is read\n" +
			"from standard input.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			explanation, err := explainRequest(arguments[0], logs, command.InOrStdin())
			if err != nil {
				return err
			}
			return a.print(explanation, func() table { return explanationTable(explanation) })
		},
	}
	command.Flags().StringSliceVar(&logs, "logs", nil, "log files of one or more processes")
	return command
}

func explainRequest(request string, logs []string, input io.Reader) (explain.Explanation, error) {
	if len(logs) == 0 {
		lines, err := explain.Read(input, request, nil)
		return explain.Explain(request, lines), err
	}
	var lines []explain.Line
	for _, path := range logs {
		file, err := os.Open(path)
		if err != nil {
			return explain.Explanation{}, invalidError{err.Error()}
		}
		lines, err = explain.Read(file, request, lines)
		_ = file.Close()
		if err != nil {
			return explain.Explanation{}, fmt.Errorf("%s: %w", path, err)
		}
	}
	return explain.Explain(request, lines), nil
}

func explanationTable(explanation explain.Explanation) table {
	content := table{header: []string{"time", "process", "line"}}
	for _, line := range explanation.Lines {
		content.add(line.Time.Format("15:04:05.000"), line.Process, line.Text)
	}
	content.add("", "cause", explanation.Cause)
	return content
}
