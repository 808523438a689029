package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/origin"
)

func at(version string) origin.Origin {
	return origin.Origin{Service: "s", Software: origin.Software{Version: version}}
}

func TestARecordOfALaterAttemptReplacesAnEarlierOne(t *testing.T) {
	key := origin.KeyOf("", "r")
	put := func(order ...uint32) *origin.Record {
		table := origin.Table{Maximum: 10}
		for _, attempt := range order {
			table.Put(0, origin.Record{Key: key, Call: 7, Attempt: attempt, Origin: at(fmt.Sprint("v", attempt)), LeftMillis: 1000})
		}
		record, _ := table.Get(0, key)
		return record
	}
	for _, order := range [][]uint32{{1, 2}, {2, 1}, {1, 2, 1, 2}} {
		record := put(order...)
		assert.Equal(t, at("v2"), record.Origin)
		assert.False(t, record.Ambiguous)
	}
}

func TestCallsWithOneIDAtDifferentOriginsAreAmbiguous(t *testing.T) {
	key := origin.KeyOf("", "r")
	for second, ambiguous := range map[string]bool{"v1": false, "v2": true} {
		table := origin.Table{Maximum: 10}
		table.Put(0, origin.Record{Key: key, Call: 1, Attempt: 1, Origin: at("v1"), LeftMillis: 1000})
		table.Put(0, origin.Record{Key: key, Call: 2, Attempt: 1, Origin: at(second), LeftMillis: 1000})
		table.Put(0, origin.Record{Key: key, Call: 2, Attempt: 2, Origin: at(second), LeftMillis: 1000})
		record, _ := table.Get(0, key)
		assert.Equal(t, ambiguous, record.Ambiguous, second)
	}
}

func TestRecordsEndWithTheTimeOfTheirStreamsAndAreBounded(t *testing.T) {
	table := origin.Table{Maximum: 100}
	for number := range 1000 {
		now := time.Duration(number) * time.Millisecond
		table.Put(now, origin.Record{Key: origin.KeyOf("", fmt.Sprint(number)), Origin: at("v1"), LeftMillis: 1 << 40})
	}
	kept, dropped := table.Count()
	assert.Equal(t, 100, kept)
	assert.EqualValues(t, 900, dropped)

	table = origin.Table{Maximum: 100}
	table.Put(0, origin.Record{Key: origin.KeyOf("", "a"), Origin: at("v1"), LeftMillis: 1000})
	record, age := table.Get(900*time.Millisecond, origin.KeyOf("", "a"))
	assert.Equal(t, at("v1"), record.Origin)
	assert.Equal(t, 900*time.Millisecond, age)
	record, _ = table.Get(time.Second, origin.KeyOf("", "a"))
	assert.Nil(t, record)
	table.Put(2*time.Second, origin.Record{Key: origin.KeyOf("", "b"), Origin: at("v1"), LeftMillis: 1000})
	kept, dropped = table.Count()
	assert.Equal(t, 1, kept)
	assert.Zero(t, dropped)
}

// listOf is a list of one service.
func listOf(versions ...string) map[string]map[origin.Software]bool {
	running := map[origin.Software]bool{}
	for _, version := range versions {
		running[origin.Software{Version: version}] = true
	}
	return map[string]map[origin.Software]bool{"s": running}
}

func TestOnlyOneOriginIsPossibleOnceNothingElseHasRunForTheWindow(t *testing.T) {
	var versions origin.Versions
	only := func(now time.Duration) string {
		found, single := origin.Only([]origin.ServiceVersions{versions.Recent(now, "s")})
		if !single {
			return "several"
		}
		return found.Software.Version
	}
	versions.Observe(0, listOf("v1"), true)
	assert.Equal(t, "several", only(time.Second), "another one may have run before")
	assert.Equal(t, "v1", only(origin.Window))
	versions.Observe(origin.Window, listOf("v1", "v2"), true)
	assert.Equal(t, "several", only(origin.Window))
	versions.Observe(2*origin.Window, listOf("v2"), true)
	assert.Equal(t, "several", only(3*origin.Window-1))
	assert.Equal(t, "v2", only(3*origin.Window))
	versions.Observe(4*origin.Window, listOf("v2"), false)
	assert.Equal(t, "several", only(4*origin.Window), "parts of the list are missing")
}

// Guards against take-ups that are refused after a start of all processes: software of long ago counted from the start on.
func TestFormerSoftwareOfBeforeTheStartCountsFromItsEnd(t *testing.T) {
	var versions origin.Versions
	until := time.Second - origin.Window
	versions.Confirm(0, map[string]map[origin.Software]time.Duration{"s": {{Version: "v1"}: until}})
	versions.Observe(0, listOf("v2"), true)
	assert.Len(t, versions.Recent(time.Second-1, "s").Software, 2)
	assert.Equal(t, []origin.Software{{Version: "v2"}}, versions.Recent(time.Second, "s").Software)
}

func TestSoftwareThatIsNewAllTheTimeIsBounded(t *testing.T) {
	var versions origin.Versions
	versions.Confirm(0, nil)
	for number := range 10 * origin.MaximumSoftware {
		versions.Observe(time.Duration(number)*time.Millisecond, listOf(fmt.Sprint("v", number)), true)
	}
	recent := versions.Recent(time.Second, "s")
	assert.LessOrEqual(t, len(recent.Software), origin.MaximumSoftware+1)
	assert.False(t, recent.Complete)
}

func TestKeepersAreTheSameAtAllProcessesAndDifferFromKeyToKey(t *testing.T) {
	forwards, backwards := []string{"a", "b", "c", "d"}, []string{"d", "c", "b", "a"}
	first := map[string]int{}
	for number := range 1000 {
		key := origin.KeyOf("", fmt.Sprint(number))
		keepers := key.Keepers(forwards, 2)
		assert.Equal(t, keepers, key.Keepers(backwards, 2))
		first[keepers[0]]++
	}
	for _, address := range forwards {
		assert.InDelta(t, 250, first[address], 100, address)
	}
}
