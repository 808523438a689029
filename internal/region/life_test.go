package region

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestIncarnationsOfOneIDHaveDifferentNames(t *testing.T) {
	names := map[string]bool{}
	const born = 1_765_000_000_000
	for _, moment := range []int64{0, born, born + 1, born - 1, born + 1000, born + 60_000, born + 3_600_000} {
		names[Incarnation{ID: "i", Born: moment}.Name()] = true
	}
	assert.Len(t, names, 7)
	assert.Equal(t, "i", Incarnation{ID: "i"}.Name(), "replicas whose start time is not reported are named by their ids")
	assert.LessOrEqual(t, len(Incarnation{ID: "i", Born: born}.Name()), 7)
}

func TestEntryWithoutStartTimeKeepsTheKnownIncarnation(t *testing.T) {
	list := []Replica{{ID: "a"}, {ID: "b"}, {ID: "c", Born: 3}}
	KeepIncarnations(list, func(id string) (Incarnation, bool) { return Incarnation{ID: id, Born: 5}, id != "b" })
	assert.Equal(t, []Replica{{ID: "a", Born: 5}, {ID: "b"}, {ID: "c", Born: 3}}, list)
}
