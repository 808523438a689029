// Package mechanism names the mechanisms that decide on requests and on stages. Each can be
// switched off in the settings, to measure what it is worth (docs/DECISIONS.md).
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is one part of the decisions that can do without the others.
type Mechanism string

// The mechanisms of gateways.
const (
	// PrefixAffinity counts what a replica keeps of a prompt.
	PrefixAffinity Mechanism = "prefix_affinity"
	// Fetching has replicas take the beginning of a prompt from others that keep it.
	Fetching Mechanism = "fetching"
	// Homes gives each shared prefix a replica where all gateways prefer to have it read.
	Homes Mechanism = "homes"
	// ReadingApart has prompts read by other replicas than those that generate.
	ReadingApart Mechanism = "reading_apart"
	// DirectReading has generating replicas read short prompts themselves.
	DirectReading Mechanism = "direct_reading"
	// LearnedCosts predicts reading times from those of earlier prompts.
	LearnedCosts Mechanism = "learned_costs"
	// Excess adds to the predictions what prompts took longer of late.
	Excess Mechanism = "excess"
	// Ranks tells replicas which prompts go first.
	Ranks Mechanism = "ranks"
	// EarlyRefusal refuses late prompts for which no replica has room.
	EarlyRefusal Mechanism = "early_refusal"
	// Peers shares the gateways' work with each other.
	Peers Mechanism = "peers"
	// Placement has coordinators choose replicas where there are many gateways.
	Placement Mechanism = "placement"
	// ReportedLoad counts what replicas tell of their load with answers.
	ReportedLoad Mechanism = "reported_load"
	// Forwarding hands requests to peer gateways while this one has lost its links to replicas.
	Forwarding Mechanism = "forwarding"
	// Ejection avoids replicas that can't be reached or are full.
	Ejection Mechanism = "ejection"
	// Retries offers a request to further replicas.
	Retries Mechanism = "retries"
	// RequestHolds sends a request that ends replicas to none any more.
	RequestHolds Mechanism = "request_holds"
	// StreamMoves moves streams away from replicas that leave or change their stage.
	StreamMoves Mechanism = "stream_moves"
	// Quotas holds tenants to their limits over all gateways.
	Quotas Mechanism = "quotas"
	// ReplicaLimits has all gateways together send a replica no more than it says it takes.
	ReplicaLimits Mechanism = "replica_limits"
	// RefusalBackoff avoids replicas longer that refuse again and again though they are not full.
	RefusalBackoff Mechanism = "refusal_backoff"
	// RestHints avoids replicas that have asked other gateways for rest.
	RestHints Mechanism = "rest_hints"
	// LearnedRoom keeps replicas less full than one was that has asked for rest.
	LearnedRoom Mechanism = "learned_room"
	// ReplicaRests sends nothing to a replica that has asked this gateway for rest.
	ReplicaRests Mechanism = "replica_rests"
	// ReplicaLeaving sends nothing new to a replica that says it leaves.
	ReplicaLeaving Mechanism = "replica_leaving"
)

// The mechanisms of coordinators.
const (
	// StageChanges changes the stages of replicas.
	StageChanges Mechanism = "stage_changes"
	// Forecast plans stages on the streams that a change will find.
	Forecast Mechanism = "forecast"
	// EvenShortage shares a shortage of replicas between the stages.
	EvenShortage Mechanism = "even_shortage"
	// ListPages takes over what a page of the platform's list shows before the others are read, and reads a page again that
	// fails. Without it the list is taken over as a whole, and a page that fails loses what was read.
	ListPages Mechanism = "list_pages"
)

// All lists the mechanisms.
func All() []Mechanism {
	return []Mechanism{
		PrefixAffinity,
		Fetching,
		Homes,
		ReadingApart,
		DirectReading,
		LearnedCosts,
		Excess,
		Ranks,
		EarlyRefusal,
		Peers,
		Placement,
		ReportedLoad,
		Forwarding,
		Ejection,
		Retries,
		RequestHolds,
		StreamMoves,
		Quotas,
		ReplicaLimits,
		RefusalBackoff,
		RestHints,
		LearnedRoom,
		ReplicaRests,
		ReplicaLeaving,
		StageChanges,
		Forecast,
		EvenShortage,
		ListPages,
	}
}

// Set is the mechanisms that are switched off; nil switches none off.
type Set map[Mechanism]bool

// Parse returns the set of the names, or an error that names the first unknown one.
func Parse(names []string) (Set, error) {
	set := Set{}
	for _, name := range names {
		if !slices.Contains(All(), Mechanism(name)) {
			return nil, fmt.Errorf("%q is not a mechanism: known are %s", name, known())
		}
		set[Mechanism(name)] = true
	}
	return set, nil
}

func known() string {
	names := make([]string, 0, len(All()))
	for _, each := range All() {
		names = append(names, string(each))
	}
	return strings.Join(names, ", ")
}
