package regional

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pierhaven/pierhaven/internal/event"
)

// rereadInterval is the least time between two looks at the file.
const rereadInterval = time.Second

// Seeds reads the seeds anew from the settings file, which may change while the
// process runs. A file that can't be read leaves the seeds as they were.
type Seeds struct {
	mutex   sync.Mutex
	path    string
	process Process
	logger  logr.Logger
	current []string
	readAt  time.Time
}

// NewSeeds returns the seeds of settings that were loaded from a path.
func NewSeeds(path string, process Process, loaded *Settings, logger logr.Logger) *Seeds {
	return &Seeds{path: path, process: process, logger: logger, current: loaded.SeedAddresses(), readAt: time.Now()}
}

// Addresses returns the internal addresses of the seeds.
func (s *Seeds) Addresses() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.readAt) < rereadInterval {
		return s.current
	}
	s.readAt = time.Now()
	settings, err := Load(s.path, s.process)
	if err != nil {
		s.logger.Info(event.SettingsUnreadable, "error", err.Error())
		return s.current
	}
	s.current = settings.SeedAddresses()
	return s.current
}
