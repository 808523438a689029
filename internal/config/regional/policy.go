package regional

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/goccy/go-yaml"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/event"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/policy"
)

// PolicyFile is a policy that operators keep in a file, in the form of the policies
// that are submitted to a zone's controllers. It may change while the process runs; a
// text that is not valid leaves the last valid one in force.
type PolicyFile struct {
	mutex   sync.Mutex
	path    string
	logger  logr.Logger
	program *policy.Program
	text    []byte
	readAt  time.Time
}

// OpenPolicy reads a policy's file; without a path there is no policy. Its error
// names the file and all problems.
func OpenPolicy(path string, logger logr.Logger) (*PolicyFile, error) {
	opened := &PolicyFile{path: path, logger: logger}
	if path == "" {
		return opened, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidDocument)
	}
	if opened.program, err = compilePolicy(path, text); err != nil {
		return nil, err
	}
	opened.text = text
	opened.readAt = time.Now()
	logger.Info(event.PolicyInForce, "file", path, "policy", opened.program.Document().Name)
	return opened, nil
}

func compilePolicy(path string, text []byte) (*policy.Program, error) {
	var document dynamic.Policy
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&document); err != nil {
		return nil, failure.Wrap(fmt.Errorf("%s: %w", path, err), failure.InvalidDocument)
	}
	program, problems := policy.Compile(document)
	if err := problems.OrNil(); err != nil {
		return nil, failure.Wrap(fmt.Errorf("%s: %w", path, err), failure.InvalidDocument)
	}
	return program, nil
}

// Program returns the policy in force, nil if there is none.
func (f *PolicyFile) Program() *policy.Program {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.path == "" || time.Since(f.readAt) < rereadInterval {
		return f.program
	}
	f.readAt = time.Now()
	text, err := os.ReadFile(f.path)
	if err != nil || bytes.Equal(text, f.text) {
		return f.program
	}
	f.text = text
	program, err := compilePolicy(f.path, text)
	if err != nil {
		f.logger.Info(event.PolicyRefused, "file", f.path, "error", err.Error())
		return f.program
	}
	f.program = program
	f.logger.Info(event.PolicyInForce, "file", f.path, "policy", program.Document().Name)
	return f.program
}
