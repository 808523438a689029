package zonestate

import (
	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

//go:generate go tool msgp -file engine.go -o engine_gen.go -tests=false -io=false
//msgp:limit arrays:65536 maps:65536

// Engine is the committed state of one engine.
type Engine struct {
	ID      string `msg:"id"`
	Address string `msg:"address"`
	// Verified is the configuration that the engine was last verified to run,
	// nil while it is unverified. Gateways may use an engine only as it was
	// verified.
	Verified *engineapi.Configuration `msg:"verified,omitempty"`
	// Incarnation identifies the engine's process that was verified.
	Incarnation uint64 `msg:"incarnation"`
	// Desired is the desired configuration, nil until it is known.
	Desired *engineapi.Configuration `msg:"desired,omitempty"`
	// DesiredAt is the log index of the last change of Desired.
	DesiredAt uint64 `msg:"desired_at"`
	// Changing says that the engine is withheld for a change.
	Changing bool `msg:"changing"`
	// Drained says that an operator has drained the engine; OperatorAt is the
	// log index at which an operator last drained or undrained it.
	Drained    bool   `msg:"drained"`
	OperatorAt uint64 `msg:"operator_at"`
	// Leaving says that the engine has declared that it is leaving.
	Leaving bool `msg:"leaving"`
	// WithheldAt is the log index since which the engine has been withheld without
	// interruption, which means that gateways must not use it; 0 if they may.
	WithheldAt uint64 `msg:"withheld_at"`
	// Order is the order in flight.
	Order *Order `msg:"order,omitempty"`
	// LastFence is the fencing token of the newest order that was ever issued to
	// an engine with this id. An engine that reports a lower one has lost its
	// record of orders, and would execute an old order that is still in flight.
	// It is put into service only after it has executed a newer order.
	LastFence engineapi.Fence `msg:"last_fence"`
	// Failures counts the failed orders since the last successful one, or since
	// the desired configuration last changed.
	Failures int `msg:"failures"`
	// FailureDetail is the engine's description of the last failure.
	FailureDetail string `msg:"failure_detail,omitempty"`
	// Abandoned is the target of the last abandoned change, nil once another
	// configuration is desired.
	Abandoned *engineapi.Configuration `msg:"abandoned,omitempty"`
	// ChangedAt is the log index of the engine's last change in the gateways' view.
	ChangedAt uint64 `msg:"changed_at"`
}

// Order is an order that has been issued to an engine and has not ended.
type Order struct {
	// Fence is the order's fencing token: the group's generation and the log index
	// of the order's command.
	Fence  engineapi.Fence         `msg:"fence"`
	Target engineapi.Configuration `msg:"target"`
}

// Dispatchable reports whether gateways may use the engine.
func (e *Engine) Dispatchable() bool { return e.WithheldAt == 0 }

// NeedsChange reports whether the engine's desired configuration is known, and
// differs from the verified one or the engine is unverified.
func (e *Engine) NeedsChange() bool {
	if e.Desired == nil {
		return false
	}
	return e.Verified == nil || !e.Verified.Equal(*e.Desired)
}

// mustWithhold reports whether the engine must be withheld.
func (e *Engine) mustWithhold() bool {
	return e.Verified == nil || e.Changing || e.Drained || e.Leaving || e.Order != nil
}

// updateWithheld updates WithheldAt after a change at a log index.
func (e *Engine) updateWithheld(index uint64) {
	switch {
	case !e.mustWithhold():
		e.WithheldAt = 0
	case e.WithheldAt == 0:
		e.WithheldAt = index
	}
}

// BackEnd is the committed state of an application back end.
type BackEnd struct {
	ID           string   `msg:"id"`
	Address      string   `msg:"address"`
	Applications []string `msg:"applications"`
	// Serving says that the back end takes new work. It is false once the back
	// end has declared that it is leaving.
	Serving   bool   `msg:"serving"`
	ChangedAt uint64 `msg:"changed_at"`
}
