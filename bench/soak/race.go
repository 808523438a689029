package soak

import (
	"bytes"
	"os"
	"path/filepath"
)

// raceLog begins the names of the files in the soak's folder that the race detector of each process writes to.
const raceLog = "race"

// raceReport is the line that begins each report of the race detector.
var raceReport = []byte("WARNING: DATA RACE")

// races notes the reports of the race detector in a folder.
func (t *truth) races(folder string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	names, err := filepath.Glob(filepath.Join(folder, raceLog+".*"))
	if err != nil {
		t.violate("the race reports can't be listed: %v", err)
	}
	for _, name := range names {
		report, err := os.ReadFile(name)
		if err != nil {
			t.violate("a race report can't be read: %v", err)
		}
		t.violate("%d reports of data races in %s", bytes.Count(report, raceReport), name)
	}
}
