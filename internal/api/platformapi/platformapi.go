// Package platformapi holds the JSON messages of the platform's two services:
// the lagging list of machines and the rate-limited weight store.
package platformapi

// PathMachines returns a MachineList.
const PathMachines = "/platform/v1/machines"

// PathRegister takes a Machine: the platform's agents report a machine's start,
// leaving and end. It is of no concern to pierhaven.
const PathRegister = "/platform/v1/register"

// PathWeights returns WeightTicket for the query parameters model and version.
const PathWeights = "/platform/v1/weights"

// MachineState is the platform's opinion of a machine.
type MachineState string

// States of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
	MachineGone    MachineState = "gone"
)

// MachineKind says what runs on a machine.
type MachineKind string

// Kinds of machines.
const (
	KindEngine      MachineKind = "engine"
	KindApplication MachineKind = "application"
	KindGateway     MachineKind = "gateway"
	KindController  MachineKind = "controller"
)

// Machine is one row of the list.
type Machine struct {
	ID      string       `json:"id"`
	Kind    MachineKind  `json:"kind"`
	Zone    string       `json:"zone"`
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// MachineList is the list as it was AgeMillis ago. It is a hint, never proof.
type MachineList struct {
	Sequence  uint64    `json:"sequence"`
	AgeMillis int64     `json:"age_ms"`
	Machines  []Machine `json:"machines"`
}

// WeightTicket grants a download, or says when to come back.
type WeightTicket struct {
	Granted          bool  `json:"granted"`
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// TransferMillis is how long the download takes.
	TransferMillis int64 `json:"transfer_ms,omitempty"`
}
