package relay_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/origin"
	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
	"github.com/pierhaven/pierhaven/internal/traffic"
)

// addReplicaOf adds a replica in a zone that runs a version of the software, empty if the list does not tell it.
func (w *testEnvironment) addReplicaOf(id, zone, version, stage string, handler http.HandlerFunc) {
	w.t.Helper()
	w.list(region.Replica{ID: id, Service: "service", Address: w.startReplica(id, handler), Zone: zone, Slots: 4, Stage: stage, Software: version})
}

// Guards against streams with events of two versions of the replicas' software.
func TestABrokenStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	for name, test := range map[string]struct {
		began  string
		others []string
		// goesOn is the replica at which the stream is to go on, -1 if it is to be broken off.
		goesOn int
	}{
		"another replica has the version": {"v1", []string{"v2", "v2", "v1"}, 2},
		"no other replica has it":         {"v1", []string{"v2", "v3"}, -1},
		"the version is not known":        {"", []string{"", "v1"}, -1},
		"those of others are not known":   {"v1", []string{"", ""}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnvironment(t)
			w.addReplicaOf("first", "zone", test.began, "", func(writer http.ResponseWriter, request *http.Request) {
				for number, version := range test.others {
					zone := "zone"
					if number == test.goesOn {
						// It is chosen only if it has to be.
						zone = "far"
					}
					w.addReplicaOf(string(rune('a'+number)), zone, version, "", streamEvents(3, 4, false))
				}
				streamEvents(1, 2, true)(writer, request)
			})
			call := newCall(traffic.KindStream, 2)
			call.Route.Resumable = true
			answer := w.runCall(call)
			for number := range test.others {
				runs := 0
				if number == test.goesOn {
					runs = 1
				}
				assert.Equal(t, runs, w.requestCount(string(rune('a'+number))), "replica %d", number)
			}
			assert.Equal(t, test.goesOn >= 0, answer.ended)
			assert.Equal(t, test.goesOn < 0, answer.aborted)
		})
	}
}

// Before its first event a stream has no version.
func TestAnAttemptWithoutEventsPinsNoVersion(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplicaOf("first", "zone", "v1", "", func(writer http.ResponseWriter, request *http.Request) {
		w.addReplicaOf("second", "zone", "v2", "", streamEvents(1, 2, false))
		dropConnection(writer, request)
	})
	call := newCall(traffic.KindStream, 2)
	call.Route.Resumable = true
	answer := w.runCall(call)
	assert.Equal(t, eventText(1, 2), answer.body.String())
	assert.True(t, answer.ended)
}

// Guards against a stream that is moved, with its memory, to a replica of another version.
func TestAStreamIsMovedOnlyToTheVersionThatBeganIt(t *testing.T) {
	w := newTestEnvironment(t)
	leaving := newPausedStream()
	w.addReplicaOf("leaving", "zone", "v1", region.StageDecode, leaving.serveHTTP)
	go func() {
		<-leaving.firstEventsSent
		w.addReplicaOf("newer", "zone", "v2", region.StageDecode, streamEvents(4, 6, false))
		w.addReplicaOf("same", "far", "v1", region.StageDecode, streamEvents(4, 6, false))
		w.changeFirstReplica(func(replica *region.Replica) { replica.Draining = true })
	}()
	answer := w.runCall(newUnsplitCall())
	assert.Equal(t, eventText(1, 6), answer.body.String())
	assert.Equal(t, 0, w.requestCount("newer"))
	assert.Equal(t, 1, w.requestCount("same"))
}

// A process that starts again under its id, with another version, is another replica, and one whose version an older list
// does not tell is the same.
func TestAListedVersionBelongsToOneLife(t *testing.T) {
	w := newTestEnvironment(t)
	address := w.startReplica("a", streamEvents(1, 2, false))
	for _, step := range []struct{ listed, runs string }{{"", "(a)"}, {"v1", "v1"}, {"", "v1"}, {"v2", "v2"}, {"v1", "v1"}} {
		w.directory.Replace([]region.Replica{{ID: "a", Service: "service", Address: address, Zone: "zone", Slots: 4, Software: step.listed}})
		var running []string
		for software := range w.directory.RunningSoftware()["service"] {
			running = append(running, software.String())
		}
		assert.Equal(t, []string{step.runs}, running, step.listed)
	}
}

// New streams leave the last slots of a version that hardly any replica runs to the streams that go on there, unless there is
// no other room.
func TestNewRequestsLeaveRoomAtScarceReplicas(t *testing.T) {
	w := newTestEnvironment(t)
	for id, version := range map[string]string{"old": "v1", "new-1": "v2", "new-2": "v2", "new-3": "v2"} {
		w.list(region.Replica{ID: id, Service: "service", Address: "10.0.0.1:80", Zone: "zone", Slots: 4, Software: version})
	}
	taken := map[string]int{}
	for range 16 {
		taken[w.directory.PickAny("service", relay.Wanted{}).Replica.ID]++
	}
	assert.Equal(t, 3, taken["old"], "three quarters of its slots, until all others are full")
	goesOn := w.directory.PickAny("service", relay.Wanted{Software: origin.Software{Version: "v1"}})
	assert.Equal(t, "old", goesOn.Replica.ID)
}

// Guards against streams that are taken up behind their last event, since only their end was lost, and are taken for broken.
func TestAStreamThatIsTakenUpBehindItsLastEventIsComplete(t *testing.T) {
	w := newTestEnvironment(t)
	w.addReplica("a", "", streamEvents(1, 0, false))
	call := newCall(traffic.KindStream, 2)
	call.Route.Resumable = true
	call.LastEvent, call.Software = "9", origin.Software{Version: "v1"}
	answer := w.runCall(call)
	assert.True(t, answer.ended)
	assert.Equal(t, http.StatusOK, answer.status)
	assert.Empty(t, answer.body.String())
	assert.Equal(t, 1, w.requestCount("a"))

	fresh := newCall(traffic.KindStream, 1)
	fresh.Route.Resumable = true
	assert.False(t, w.runCall(fresh).ended, "a stream that begins has events")
}
