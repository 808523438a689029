package cli

import (
	"errors"
	"fmt"
	"os"
	"path"
	"path/filepath"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"github.com/pierhaven/pierhaven/coordination/storage"
)

func (a *application) dataCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "data",
		Short: "Read a controller's data folder offline",
	}
	command.AddCommand(
		&cobra.Command{
			Use:   "inspect FOLDER",
			Short: "Show what each group's data in a data folder holds",
			Args:  cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, arguments []string) error {
				reports, err := inspectFolders(arguments[0])
				if err != nil {
					return err
				}
				return a.print(reports, func() table { return inspectTable(reports) })
			},
		},
		&cobra.Command{
			Use:   "verify FOLDER",
			Short: "Check each group's data in a data folder; exit code 3 if any is damaged",
			Args:  cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, arguments []string) error {
				return a.verifyFolders(arguments[0])
			},
		},
		&cobra.Command{
			Use:   "accept-copy FOLDER",
			Short: "Make a moved data folder usable; only if it is the latest and only copy",
			Long: "A data folder that was copied, or restored from a backup, does not open: the\n" +
				"controller may have made promises since the copy was made. Accept a copy only\n" +
				"if the controller was stopped before it was made and has not run since, and no\n" +
				"other copy will ever be used. In all other cases replace the controller.",
			Args: cobra.ExactArgs(1),
			RunE: func(_ *cobra.Command, arguments []string) error {
				return a.acceptCopies(arguments[0])
			},
		},
	)
	return command
}

// acceptCopies makes each group's data below root usable.
func (a *application) acceptCopies(root string) error {
	folders, err := dataFolders(root)
	if err != nil {
		return err
	}
	for _, folder := range folders {
		if err := storage.AcceptCopy(storage.OSFileSystem{}, folder); err != nil {
			return invalidError{fmt.Sprintf("%s: %v", folder, err)}
		}
	}
	return a.verifyFolders(root)
}

// dataReport is the JSON form of one group's data.
type dataReport struct {
	Folder string `json:"folder"`
	// Stage is new, promised, member or damaged; empty if there is no identity.
	Stage         string          `json:"stage"`
	Group         uint64          `json:"group"`
	ReplicaID     uint64          `json:"replica_id"`
	Term          uint64          `json:"term"`
	Vote          uint64          `json:"vote"`
	SnapshotIndex uint64          `json:"snapshot_index"`
	SnapshotBytes int             `json:"snapshot_bytes"`
	FirstIndex    uint64          `json:"first_index"`
	LastIndex     uint64          `json:"last_index"`
	Segments      []segmentReport `json:"segments"`
	// Damage is what makes the data unusable, empty if it is sound.
	Damage string `json:"damage,omitempty"`
}

type segmentReport struct {
	Name      string `json:"name"`
	Bytes     int64  `json:"bytes"`
	Frames    int    `json:"frames"`
	TornBytes int64  `json:"torn_bytes,omitempty"`
}

var stageNames = map[storage.Stage]string{
	storage.StageNew:      "new",
	storage.StagePromised: "promised",
	storage.StageMember:   "member",
	storage.StageDamaged:  "damaged",
}

// inspectFolders reads all folders below root that hold a group's data.
func inspectFolders(root string) ([]dataReport, error) {
	folders, err := dataFolders(root)
	if err != nil {
		return nil, err
	}
	var reports []dataReport
	for _, folder := range folders {
		report, err := inspectFolder(folder)
		if err != nil {
			return nil, invalidError{fmt.Sprintf("%s: %v", folder, err)}
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// dataFolders finds the folders that hold files of a group.
func dataFolders(root string) ([]string, error) {
	found := map[string]bool{}
	err := filepath.WalkDir(root, func(name string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && isGroupFile(entry.Name()) {
			found[path.Dir(filepath.ToSlash(name))] = true
		}
		return nil
	})
	if err != nil {
		return nil, invalidError{err.Error()}
	}
	folders := make([]string, 0, len(found))
	for folder := range found {
		folders = append(folders, folder)
	}
	sort.Strings(folders)
	if len(folders) == 0 {
		return nil, invalidError{root + ": holds no group's data"}
	}
	return folders, nil
}

// isGroupFile reports whether a file belongs to a replica's data.
func isGroupFile(name string) bool {
	return name == "identity" || strings.HasPrefix(name, "segment-") || strings.HasPrefix(name, "snapshot-")
}

func inspectFolder(folder string) (dataReport, error) {
	read, err := storage.Inspect(storage.OSFileSystem{}, folder)
	if err != nil {
		return dataReport{}, err
	}
	report := dataReport{
		Folder:        folder,
		Term:          read.HardState.Term,
		Vote:          uint64(read.HardState.Vote),
		SnapshotIndex: read.Snapshot.Index,
		SnapshotBytes: read.SnapshotBytes,
		FirstIndex:    read.FirstIndex,
		LastIndex:     read.LastIndex,
	}
	if read.Identity != nil {
		report.Stage = stageNames[read.Identity.Stage]
		report.Group = read.Identity.Group
		report.ReplicaID = uint64(read.Identity.ReplicaID)
	}
	for _, segment := range read.Segments {
		report.Segments = append(report.Segments, segmentReport{segment.Name, segment.Bytes, segment.Frames, segment.TornBytes})
	}
	if read.Damage != nil {
		report.Damage = read.Damage.Error()
	}
	return report, nil
}

func inspectTable(reports []dataReport) table {
	content := table{header: []string{"folder", "group", "replica", "stage", "term", "snapshot", "entries", "segments"}}
	for _, report := range reports {
		content.add(report.Folder, report.Group, report.ReplicaID, orDash(report.Stage), report.Term,
			report.SnapshotIndex, fmt.Sprintf("%d-%d", report.FirstIndex, report.LastIndex), len(report.Segments))
		if report.Damage != "" {
			content.note("%s: damaged: %s", report.Folder, report.Damage)
		}
		for _, segment := range report.Segments {
			if segment.TornBytes > 0 {
				content.note("%s/%s: a torn write of %d bytes at the end will be cut off", report.Folder, segment.Name, segment.TornBytes)
			}
		}
	}
	return content
}

func (a *application) verifyFolders(root string) error {
	reports, err := inspectFolders(root)
	if err != nil {
		return err
	}
	var damaged []error
	for _, report := range reports {
		if report.Damage != "" {
			damaged = append(damaged, fmt.Errorf("%s: %s", report.Folder, report.Damage))
		}
	}
	if len(damaged) > 0 {
		return invalidError{errors.Join(damaged...).Error()}
	}
	return a.print(reports, func() table {
		var content table
		content.note("%s: %d groups' data is sound", root, len(reports))
		return content
	})
}
