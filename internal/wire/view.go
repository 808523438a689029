package wire

//msgp:limit arrays:65536 maps:65536

import (
	"github.com/pierhaven/pierhaven/internal/config/dynamic"
)

// View is the state that a zone group publishes to its gateways. It is read
// from durable, committed state only, so a view is never revoked.
type View struct {
	// Revision is the zone group's log index; it only grows.
	Revision uint64 `msg:"revision"`
	// Generation of the zone group; see docs/design/zone-group.md.
	Generation uint64 `msg:"generation"`
	// ConfigRevision is the zone's configuration revision. If it is newer than
	// the watcher's, either ConfigDelta leads to it from the watcher's
	// revision, or Config is the full configuration.
	ConfigRevision uint64            `msg:"config_revision"`
	Config         *dynamic.Snapshot `msg:"config,omitempty"`
	ConfigDelta    *dynamic.Delta    `msg:"config_delta,omitempty"`
	// Full says that Engines and BackEnds list everything; otherwise they
	// list what changed since the watcher's revision.
	Full     bool          `msg:"full"`
	Engines  []EngineView  `msg:"engines,omitempty"`
	BackEnds []BackEndView `msg:"back_ends,omitempty"`
	// GatewayCount is the number of the zone's gateways with open sessions.
	GatewayCount int `msg:"gateway_count"`
	// Isolation is set if the watcher's own isolation set has changed since
	// the watcher's revision, or Full. Other gateways' sets don't concern it.
	Isolation *IsolationView `msg:"isolation,omitempty"`
}

// BringsConfig reports whether the view carries a newer configuration.
func (v *View) BringsConfig() bool { return v.Config != nil || v.ConfigDelta != nil }

// EngineView is one engine as gateways may use it.
type EngineView struct {
	ID       string   `msg:"id"`
	Address  string   `msg:"address"`
	Role     string   `msg:"role"`
	Model    string   `msg:"model"`
	Version  string   `msg:"version"`
	Adapters []string `msg:"adapters,omitempty"`
	// Dispatchable is false while the engine is draining or being changed: no
	// new attempt may start there.
	Dispatchable bool `msg:"dispatchable"`
	// Leaving is set when the platform or the engine has announced that it is
	// leaving.
	Leaving bool `msg:"leaving"`
	// Removed removes the row in a partial view.
	Removed bool `msg:"removed,omitempty"`
	// ChangedAt is the revision of the row's last change.
	ChangedAt uint64 `msg:"changed_at"`
}

// BackEndView is one application back end.
type BackEndView struct {
	ID           string   `msg:"id"`
	Address      string   `msg:"address"`
	Applications []string `msg:"applications"`
	Dispatchable bool     `msg:"dispatchable"`
	Removed      bool     `msg:"removed,omitempty"`
	ChangedAt    uint64   `msg:"changed_at"`
}

// IsolationView lists the engines that a gateway may go on using while it is
// isolated from the controllers.
type IsolationView struct {
	SessionID uint64   `msg:"session_id"`
	Engines   []string `msg:"engines,omitempty"`
}

// WatchRequest requests a newer view and waits for it.
type WatchRequest struct {
	GatewayID      string `msg:"gateway_id"`
	SessionID      uint64 `msg:"session_id"`
	Revision       uint64 `msg:"revision"`
	ConfigRevision uint64 `msg:"config_revision"`
	WaitMillis     int64  `msg:"wait_ms"`
}

// WatchReply carries a view; a view with the request's revision means no
// change.
type WatchReply struct {
	View View `msg:"view"`
}

// ConfigPullRequest requests from a config voter a snapshot newer than
// Revision.
type ConfigPullRequest struct {
	Revision   uint64 `msg:"revision"`
	WaitMillis int64  `msg:"wait_ms"`
}

// ConfigPullReply carries the newest committed snapshot, nil if none is newer.
type ConfigPullReply struct {
	Snapshot *dynamic.Snapshot `msg:"snapshot,omitempty"`
}
