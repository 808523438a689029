package region

import (
	"testing"

	"github.com/pierhaven/pierhaven/internal/recorded"
)

func replicaOf(id string) Replica {
	return Replica{ID: id, Born: 5, Service: "model", Address: "10.0.0.1:80", Zone: "z", Slots: 64, Stage: StageDecode}
}

// samples returns one message of each kind that processes exchange or store, with the fields that it had in
// the build whose messages were recorded.
func samples() recorded.Samples {
	demand := []ServiceDemand{{Service: "model", Generating: 3, Expected: 4, Reading: 2, Prompts: 9, Unreachable: []string{"a@5"}, Gateways: 1}}
	return recorded.Samples{
		"view_request":       &ViewRequest{Gateway: "g", Address: "10.0.0.2:7380", PeersHash: 7, Version: 3, ListRevision: 11, Demand: demand, WaitMillis: 400, WallNanos: 12, PoisonRevision: 2},
		"view":               &View{AgeMillis: 20, Zone: "z", Version: 3, Document: []byte("document"), ListRevision: 11, HasList: true, WholeList: true, Replicas: []Replica{replicaOf("a")}, Removed: []string{"b"}, Gateways: 40, Places: true, PeersHash: 7, Coordinators: []string{"10.0.0.3:7380"}, RegionNanos: 99, NextWindow: 4},
		"read_index_request": &ReadIndexRequest{From: "10.0.0.3:7380", Gateways: []string{"10.0.0.2:7380"}, PeersHash: 7, Demand: demand, Clocks: []int64{1, 2}, Usage: []GatewayUsage{{Gateway: "g", Life: 1, ToldAt: 2, Counts: []UsageCount{{Window: 3, Tenant: "t", Count: 4}}}}},
		"read_index_reply":   &ReadIndexReply{Index: 12, PeersHash: 7, Peers: []string{"10.0.0.2:7380"}, RegionNanos: 99},
		"join_request":       &JoinRequest{Address: "10.0.0.3:7380", Replica: 77},
		"replace_request":    &ReplaceRequest{Version: 3, Document: []byte("document")},
		"replace_reply":      &ReplaceReply{Version: 3, Index: 12},
		"command_list":       &Command{List: &ListCommand{Changed: []Replica{replicaOf("a")}, Removed: []string{"b"}}},
		"command_change":     &Command{Change: &ChangeCommand{Replica: "a", Born: 5, Stage: StagePrefill}},
		"command_change_end": &Command{ChangeEnd: &ChangeEndCommand{Replica: "a"}},
		"command_config":     &Command{Configuration: &ConfigurationCommand{Version: 3, Document: []byte("document")}},
		"command_usage":      &Command{Usage: &UsageWindow{Window: 3, Counts: []UsageCount{{Window: 3, Tenant: "t", Count: 4}}}},
		"command_usage_call": &Command{UsageCall: &UsageCallCommand{Window: 3}},
		"command_usage_end":  &Command{UsageEnd: &UsageEndCommand{Window: 3}},
		"command_fleet":      &Command{Fleet: &FleetOrder{Service: "model", Zone: "z", Count: 4, Base: 3}},
		"state":              &State{Version: 3, Document: []byte("document"), ListRevision: 11, Replicas: []ListedReplica{{Replica: replicaOf("a"), Revision: 11}}, Removed: []RemovedReplica{{ID: "b", Revision: 10}}, RemovedSince: 1, Changes: []StageChange{{Replica: "a", Born: 5, Stage: StagePrefill, Fence: 9}}, NextWindow: 4},
		"outstanding":        &Outstanding{Gateway: "g", Life: 1, Sequence: 2, Replicas: []OutstandingWork{{Replica: "a@5", Requests: 2, InTimeMicros: 3, LateMicros: 4}}, Prompts: []PlacedPrompt{{Sequence: 1, Replica: "a@5", Parts: []PlacedPart{{ID: "x", Tokens: 9}}, ReadyMillis: 3}}, Unreachable: []string{"b@6"}, Whole: true, Costs: []EngineCost{{Service: "model", Samples: 3, Fixed: 0.1, Token: 0.2, Pair: 0.3}}, Zone: "z", WallNanos: 99},
		"placement_message":  &PlacementMessage{Gateway: "g", Life: 1, Sequence: 2, Question: &PlacementQuery{Lease: 3, Kind: PlacePrefill, Service: "model", Tokens: 9}},
		"placement_reply":    &PlacementReply{Life: 1, Answer: &PlacementAnswer{Lease: 3, Outcome: PlacementGranted, Replica: "a@5"}},
	}
}

func TestMessagesOfAnEarlierBuildAreRead(t *testing.T) { samples().Check(t) }

func FuzzMessages(f *testing.F) { samples().Fuzz(f) }
