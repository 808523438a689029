package cli

import (
	"github.com/spf13/cobra"
)

func (a *application) logCommand() *cobra.Command {
	command := &cobra.Command{Use: "log", Short: "Work with a controller's log ring"}
	command.AddCommand(a.operatorCommand(&cobra.Command{
		Use:   "dump",
		Short: "Have a controller write its log ring to its disk",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			dump, err := client.DumpLog(command.Context())
			if err != nil {
				return explainRead(err)
			}
			return a.print(dump, func() table {
				var content table
				content.note("written to %s", orStandardError(dump.Path))
				return content
			})
		},
	}))
	return command
}

func orStandardError(path string) string {
	if path == "" {
		return "the controller's standard error"
	}
	return path
}
