package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
)

// softwareState is a state to which list changes are applied.
type softwareState struct {
	region.State
	index uint64
}

func (s *softwareState) change(at time.Duration, removed []string, replicas ...region.Replica) {
	s.index++
	before := s.State
	applyListChange(&s.State, s.index, &region.ListCommand{Changed: replicas, Removed: removed})
	noteFormerSoftware(&s.State, &before, int64(at))
}

func running(id, version string) region.Replica {
	return region.Replica{ID: id, Service: "s", Software: version}
}

const listTime = 100 * time.Hour

func TestSoftwareIsRememberedAfterItsLastReplica(t *testing.T) {
	var s softwareState
	s.change(listTime, nil, running("a", "v1"), running("b", "v1"))
	assert.EqualValues(t, sinceEver, s.SoftwareSince, "nothing can have run before the first list")
	s.Version = 1
	s.change(listTime+1, nil, running("a", "v2"))
	assert.Empty(t, s.FormerSoftware, "b still runs it")
	s.change(listTime+2, []string{"b"})
	assert.Equal(t, []region.FormerSoftware{{Service: "s", Version: "v1", Until: int64(listTime + 2)}}, s.FormerSoftware)
	s.change(listTime+3, nil, running("c", "v1"))
	assert.Empty(t, s.FormerSoftware, "it runs again")
	s.change(listTime+4, []string{"c"})
	s.change(listTime+4+origin.Window+clockSlack, nil, running("d", "v2"))
	assert.Empty(t, s.FormerSoftware, "no stream of it can be taken up any more")
	assert.EqualValues(t, sinceEver, s.SoftwareSince)
}

func TestWhatIsNotKnownOfSoftwareIsNotTakenForComplete(t *testing.T) {
	var s softwareState
	s.Version = 1
	s.change(listTime, nil, running("a", "v1"), running("b", ""))
	assert.EqualValues(t, sinceEver, s.SoftwareSince)
	s.change(listTime+1, []string{"b"})
	assert.EqualValues(t, listTime+1, s.SoftwareSince, "what b ran is not known")
	s.change(0, nil, running("a", "v2"))
	assert.Zero(t, s.SoftwareSince, "a leader of an earlier build tells no time")
	s.change(listTime+2, nil, running("c", "v2"))
	assert.EqualValues(t, listTime+2, s.SoftwareSince)
}

func TestFormerSoftwareIsBounded(t *testing.T) {
	var s softwareState
	s.Version = 1
	for number := range 3 * maximumFormerSoftware {
		s.change(listTime+time.Duration(number), nil, running("a", "v"+string(rune('A'+number))))
	}
	assert.LessOrEqual(t, len(s.FormerSoftware), maximumFormerSoftware)
	assert.Greater(t, s.SoftwareSince, int64(listTime))
}
