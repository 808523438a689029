package poison

import (
	"testing"

	"github.com/pierhaven/pierhaven/internal/recorded"
)

// samples are the messages and records of this package as an earlier build encoded them.
func samples() recorded.Samples {
	held, unwatched := Digest{1, 2, 3}, Digest{4, 5, 6}
	crashes := []Crash{{Replica: "a@5", Requests: []Digest{held}}}
	return recorded.Samples{
		"command": &Command{
			At: 12, Crashes: crashes, Completions: []Digest{unwatched}, Hold: []Digest{held}, HeldElsewhere: []Digest{unwatched},
			Release: []Digest{unwatched}, ForgetBefore: 3,
		},
		"news":           &News{Revision: 9, Complete: true, Entries: []NewsEntry{{Digest: held, Held: true, OnProbation: true}}, Unwatched: []Digest{unwatched}},
		"permit_reply":   &PermitReply{WaitMillis: 40},
		"permit_request": &PermitRequest{Digest: held},
		"report":         &Report{Gateway: "g", Crashes: crashes, Completions: []Digest{unwatched}},
		"state": &State{
			Records:  []Record{{Digest: held, Crashes: []uint64{7, 8}, Total: 3, FirstAt: 1, LastAt: 2, SufficientAt: 3, HeldAt: 4, Revision: 9}},
			Revision: 9, Unwatched: []UnwatchedRecord{{Digest: unwatched, Revision: 8}}, UnwatchedSince: 2, Dropped: 1,
			RecentCrashes: []RecentCrash{{Replica: 7, At: 2}}, BurstCrashes: []BurstCrash{{Replica: 8, Burst: 6}},
		},
	}
}

func TestMessagesOfAnEarlierBuildAreRead(t *testing.T) { samples().Check(t) }

func FuzzMessages(f *testing.F) { samples().Fuzz(f) }
