package placement_test

import (
	"context"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/placement"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// restartingSource restarts the only replica while it is queried for its cached prefixes.
type restartingSource struct {
	directory *relay.Directory
	stop      context.CancelFunc
	mutex     sync.Mutex
	queried   []region.Incarnation
}

func (s *restartingSource) Cached(_ context.Context, replica region.Replica) ([]relay.PromptPart, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.queried = append(s.queried, replica.Incarnation())
	if len(s.queried) == 2 {
		s.stop()
		return nil, nil
	}
	replica.Born++
	s.directory.Replace([]region.Replica{replica})
	return []relay.PromptPart{{ID: "x", Tokens: 8000}}, nil
}

// Each incarnation of a replica is queried: the answer of the previous incarnation was recorded for
// the new one, which was not queried any more.
func TestEachIncarnationIsQueriedForCachedPrefixes(t *testing.T) {
	s := newTestServer(region.Replica{ID: "g", Born: 5, Service: "s", Address: "g:1", Zone: "z", Slots: 4, Stage: region.StageDecode})
	ctx, cancel := context.WithCancel(t.Context())
	source := &restartingSource{directory: s.directory, stop: cancel}
	warmup := &placement.Warmup{Source: source, Directory: s.directory, Logger: logr.Discard()}
	warmup.Run(ctx)
	assert.Equal(t, []region.Incarnation{{ID: "g", Born: 5}, {ID: "g", Born: 6}}, source.queried)
	query := newPrefillQuery(1, "x")
	query.Kind = region.PlaceDirect
	assert.Equal(t, 9000, s.query(t, "gateway", query).Missing)
}
