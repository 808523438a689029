package cli

import (
	"runtime"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/internal/build"
)

// Version is the release; the build may set it with -ldflags.
var Version = "development"

// BuildInformation is what `pierhaven version` prints.
type BuildInformation struct {
	Version  string `json:"version"`
	Commit   string `json:"commit"`
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

func buildInformation() BuildInformation {
	commit, modified := build.Commit()
	return BuildInformation{Version: Version, Commit: commit, Modified: modified, Go: runtime.Version()}
}

func (a *application) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			information := buildInformation()
			return a.print(information, func() table {
				var content table
				content.note("pierhaven %s, commit %s, %s", information.Version, information.Commit, information.Go)
				return content
			})
		},
	}
}
