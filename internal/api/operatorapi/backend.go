package operatorapi

import (
	"context"
	"time"

	"github.com/pierhaven/pierhaven/internal/config/dynamic"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// Backend does what the routes are asked for. A controller implements it.
// Errors have a kind of internal/failure.
type Backend interface {
	// Configuration reads the whole configuration.
	Configuration(ctx context.Context) (Configuration, error)
	// Documents lists the documents of a kind.
	Documents(ctx context.Context, kind dynamic.Kind) (DocumentList, error)
	// Document shows one document, also a withdrawn one.
	Document(ctx context.Context, kind dynamic.Kind, name string) (Document, error)
	// ChangeDocument submits or replaces a document.
	ChangeDocument(ctx context.Context, kind dynamic.Kind, name string, change DocumentChange) (ChangeResult, error)
	// WithdrawDocument takes a document out of force.
	WithdrawDocument(ctx context.Context, kind dynamic.Kind, name string, withdrawal DocumentWithdrawal) (ChangeResult, error)
	// ApplyConfiguration makes the configuration equal to a snapshot.
	ApplyConfiguration(ctx context.Context, change ConfigurationChange) (ApplyResult, error)
	// ChangeStatus says where a revision is in force, after at most wait.
	ChangeStatus(ctx context.Context, revision uint64, wait time.Duration) (ChangeStatus, error)
	// Status is the controller's account of itself.
	Status(ctx context.Context) (Status, error)
	// Zones, Engines and Gateways list over all zones.
	Zones(ctx context.Context) (ZoneList, error)
	Engines(ctx context.Context) (EngineList, error)
	Gateways(ctx context.Context) (GatewayList, error)
	// CommandEngine acts on an engine of a zone.
	CommandEngine(ctx context.Context, zone, engine string, action EngineAction, command EngineCommand) (CommandResult, error)
	// CommandRollout acts on the change of a model's version in a zone.
	CommandRollout(ctx context.Context, zone, model string, action RolloutAction, command RolloutCommand) (CommandResult, error)
	// ForgetGateway ends the session of a dead gateway.
	ForgetGateway(ctx context.Context, zone, gateway string, command ForgetCommand) (CommandResult, error)
	// Members lists the members of a group; CommandMembers changes them.
	Members(ctx context.Context, group string) (MemberList, error)
	CommandMembers(ctx context.Context, group string, command MemberCommand) (MemberList, error)
	// HeldRequests lists the requests of the controller's zone that are held, since engines have
	// ended under them; ReleaseRequest lets one go.
	HeldRequests(ctx context.Context) ([]poison.Held, error)
	ReleaseRequest(ctx context.Context, digest poison.Digest) error
	// DumpLog writes the log ring out.
	DumpLog(ctx context.Context) (LogDump, error)
}
