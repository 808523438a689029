package static

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// fileProblem says why a file can't be read, "" if it can.
func fileProblem(path string) string {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Sprintf("file %q is not readable: %v", path, errors.Unwrap(err))
	}
	_ = file.Close()
	return ""
}

// folderProblem says why a folder can't be written or made, "" if it can.
func folderProblem(path string) string {
	for current := filepath.Clean(path); ; current = filepath.Dir(current) {
		info, err := os.Stat(current)
		if errors.Is(err, os.ErrNotExist) && current != filepath.Dir(current) {
			continue
		}
		if err != nil {
			return fmt.Sprintf("folder %q is not writable: %v", path, errors.Unwrap(err))
		}
		if !info.IsDir() {
			return fmt.Sprintf("folder %q is not writable: %s is not a folder", path, current)
		}
		if err := unix.Access(current, unix.W_OK|unix.X_OK); err != nil {
			return fmt.Sprintf("folder %q is not writable: %s: %v", path, current, err)
		}
		return ""
	}
}
