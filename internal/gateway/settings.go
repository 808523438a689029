package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/pierhaven/pierhaven/internal/failure"
)

// Settings are the settings of a gateway. Addresses are IP:port.
// Times of 0 and bounds of 0 take the defaults of DefaultSettings.
type Settings struct {
	// ID identifies the gateway within its zone, and is the same after a restart.
	ID   string `validate:"required,max=64" yaml:"id" json:"id"`
	Zone string `validate:"required,max=64" yaml:"zone" json:"zone"`
	// Zones are all zones of the deployment; idempotency keys name one of them.
	Zones []string `yaml:"zones" json:"zones"`
	// Listen is the address for callers, and PeerListen the one for gateways of other zones, empty for none.
	Listen     string `validate:"required,ip_port" yaml:"listen" json:"listen"`
	PeerListen string `validate:"omitempty,ip_port" yaml:"peer_listen" json:"peer_listen"`
	// Controllers are the controllers of the zone.
	Controllers []string `validate:"required,min=1,dive,ip_port" yaml:"controllers" json:"controllers"`
	// ClusterToken is shared by all processes of the system.
	ClusterToken string `yaml:"cluster_token" json:"-"`
	// Peers are other zones' gateways, to which work may be forwarded.
	Peers []Peer `validate:"dive" yaml:"peers" json:"peers"`
	// DataFolder is the folder for dumps of the log ring; if empty, they are written to stderr.
	DataFolder string      `yaml:"data_folder" json:"data_folder"`
	Log        LogSettings `yaml:"log" json:"log"`

	Limits Limits `yaml:"limits" json:"limits"`
	Times  Times  `yaml:"times" json:"times"`
}

// LogSettings bound the log ring; zero values take package eventlog's defaults.
type LogSettings struct {
	// Entries is the number of records kept in memory.
	Entries int `validate:"gte=0" yaml:"entries" json:"entries"`
	// Verbosity is the highest level of records that are kept.
	Verbosity int `validate:"gte=0" yaml:"verbosity" json:"verbosity"`
	// Threshold is the least severity of an error that causes a dump.
	Threshold failure.Severity `validate:"gte=0" yaml:"threshold" json:"threshold"`
	// MaximumFiles bounds the dumps kept in the data folder.
	MaximumFiles int `validate:"gte=0" yaml:"maximum_files" json:"maximum_files"`
}

// Peer is a gateway of another zone.
type Peer struct {
	Zone    string `validate:"required" yaml:"zone" json:"zone"`
	Address string `validate:"required,ip_port" yaml:"address" json:"address"`
}

// Limits bound the memory and the concurrency of a gateway.
type Limits struct {
	MaximumBodyBytes   int `validate:"gte=0" yaml:"maximum_body_bytes" json:"maximum_body_bytes"`
	MaximumHeaderBytes int `validate:"gte=0" yaml:"maximum_header_bytes" json:"maximum_header_bytes"`
	// MaximumConnections bounds callers' connections.
	MaximumConnections int `validate:"gte=0" yaml:"maximum_connections" json:"maximum_connections"`
	// MaximumRequests bounds the callers' requests that are in flight.
	MaximumRequests int `validate:"gte=0" yaml:"maximum_requests" json:"maximum_requests"`
	// MaximumWorkers bounds the concurrent attempts, cancels and reports.
	MaximumWorkers int `validate:"gte=0" yaml:"maximum_workers" json:"maximum_workers"`
	// MaximumQueued bounds the requests that wait for an engine, by model.
	MaximumQueued int `validate:"gte=0" yaml:"maximum_queued" json:"maximum_queued"`
	// MaximumBatchItems bounds one batch, MaximumBatches those kept, and
	// MaximumBatchBytes the answers kept of all.
	MaximumBatchItems int   `validate:"gte=0" yaml:"maximum_batch_items" json:"maximum_batch_items"`
	MaximumBatches    int   `validate:"gte=0" yaml:"maximum_batches" json:"maximum_batches"`
	MaximumBatchBytes int64 `validate:"gte=0" yaml:"maximum_batch_bytes" json:"maximum_batch_bytes"`
	// BatchConcurrency bounds the items of one batch that run at a time.
	BatchConcurrency int `validate:"gte=0" yaml:"batch_concurrency" json:"batch_concurrency"`
	// MaximumEventBytes bounds one event of an engine's stream.
	MaximumEventBytes int `validate:"gte=0" yaml:"maximum_event_bytes" json:"maximum_event_bytes"`
	// MaximumAnswerBytes bounds an application's answer.
	MaximumAnswerBytes int `validate:"gte=0" yaml:"maximum_answer_bytes" json:"maximum_answer_bytes"`
}

// Times are the timeouts of a gateway.
type Times struct {
	// ReadTimeout bounds the arrival of one whole request.
	ReadTimeout time.Duration `validate:"gte=0" yaml:"read_timeout" json:"read_timeout"`
	// IdleTimeout bounds the wait for the next request of a connection.
	IdleTimeout time.Duration `validate:"gte=0" yaml:"idle_timeout" json:"idle_timeout"`
	// WriteTimeout bounds the wait for a caller to take bytes of its answer.
	WriteTimeout time.Duration `validate:"gte=0" yaml:"write_timeout" json:"write_timeout"`
	// DefaultDeadline holds for requests without one; MaximumDeadline bounds
	// the others.
	DefaultDeadline time.Duration `validate:"gte=0" yaml:"default_deadline" json:"default_deadline"`
	MaximumDeadline time.Duration `validate:"gte=0" yaml:"maximum_deadline" json:"maximum_deadline"`
	// MaximumWait bounds the wait for an engine.
	MaximumWait time.Duration `validate:"gte=0" yaml:"maximum_wait" json:"maximum_wait"`
	// DialTimeout and SendTimeout bound the connection to a back end and the sending of a request.
	DialTimeout time.Duration `validate:"gte=0" yaml:"dial_timeout" json:"dial_timeout"`
	SendTimeout time.Duration `validate:"gte=0" yaml:"send_timeout" json:"send_timeout"`
	// AcceptTimeout, FirstTokenTimeout and StallTimeout bound an engine's
	// silence before an attempt is given up.
	AcceptTimeout     time.Duration `validate:"gte=0" yaml:"accept_timeout" json:"accept_timeout"`
	FirstTokenTimeout time.Duration `validate:"gte=0" yaml:"first_token_timeout" json:"first_token_timeout"`
	StallTimeout      time.Duration `validate:"gte=0" yaml:"stall_timeout" json:"stall_timeout"`
	// MoveAfter is how long a stream may stay on an engine that takes no new
	// work before it is moved to another.
	MoveAfter time.Duration `validate:"gte=0" yaml:"move_after" json:"move_after"`
	// IdleBackEndTime is how long an unused connection to an engine is kept.
	IdleBackEndTime time.Duration `validate:"gte=0" yaml:"idle_back_end_time" json:"idle_back_end_time"`
	// LeavingGrace is how long a leaving gateway goes on answering new
	// requests with a refusal before it closes its listener.
	LeavingGrace time.Duration `validate:"gte=0" yaml:"leaving_grace" json:"leaving_grace"`
	// BatchKeepTime is how long a finished batch's results are kept.
	BatchKeepTime time.Duration `validate:"gte=0" yaml:"batch_keep_time" json:"batch_keep_time"`
	// BatchCollectTime is how long a leaving gateway waits for the results of
	// finished batches to be fetched.
	BatchCollectTime time.Duration `validate:"gte=0" yaml:"batch_collect_time" json:"batch_collect_time"`
}

// DefaultSettings returns the defaults; identity and addresses are empty.
func DefaultSettings() Settings {
	return Settings{
		Limits: Limits{
			MaximumBodyBytes:   16 << 20,
			MaximumHeaderBytes: 16 << 10,
			MaximumConnections: 8192,
			MaximumRequests:    4096,
			MaximumWorkers:     8192,
			MaximumQueued:      4096,
			MaximumBatchItems:  4000,
			MaximumBatches:     64,
			MaximumBatchBytes:  256 << 20,
			BatchConcurrency:   64,
			MaximumEventBytes:  256 << 10,
			MaximumAnswerBytes: 1 << 20,
		},
		Times: Times{
			ReadTimeout:       10 * time.Second,
			IdleTimeout:       60 * time.Second,
			WriteTimeout:      10 * time.Second,
			DefaultDeadline:   2 * time.Minute,
			MaximumDeadline:   10 * time.Minute,
			MaximumWait:       10 * time.Second,
			DialTimeout:       time.Second,
			SendTimeout:       2 * time.Second,
			AcceptTimeout:     2 * time.Second,
			FirstTokenTimeout: 20 * time.Second,
			StallTimeout:      3 * time.Second,
			MoveAfter:         5 * time.Second,
			IdleBackEndTime:   20 * time.Second,
			LeavingGrace:      time.Second,
			BatchKeepTime:     time.Hour,
			BatchCollectTime:  10 * time.Second,
		},
	}
}

// knowsZone reports whether a zone is one of the deployment's.
func (s *Settings) knowsZone(zone string) bool {
	if zone == s.Zone || slices.Contains(s.Zones, zone) {
		return true
	}
	return slices.ContainsFunc(s.Peers, func(peer Peer) bool { return peer.Zone == zone })
}

// Check reports every field that is wrong.
func (s *Settings) Check() error {
	checker := validator.New()
	if err := checker.RegisterValidation("ip_port", isIPPort); err != nil {
		return failure.Wrap(err, failure.Internal)
	}
	if err := checker.Struct(s); err != nil {
		return failure.Wrap(err, failure.InvalidDocument)
	}
	return nil
}

// isIPPort takes an IP number and a port; host names are not allowed.
func isIPPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}

// withDefaults fills in the zero fields.
func (s Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	fillLimits(&s.Limits, defaults.Limits)
	fillTimes(&s.Times, defaults.Times)
	return s
}

func fillLimits(limits *Limits, defaults Limits) {
	fill(&limits.MaximumBodyBytes, defaults.MaximumBodyBytes)
	fill(&limits.MaximumHeaderBytes, defaults.MaximumHeaderBytes)
	fill(&limits.MaximumConnections, defaults.MaximumConnections)
	fill(&limits.MaximumRequests, defaults.MaximumRequests)
	fill(&limits.MaximumWorkers, defaults.MaximumWorkers)
	fill(&limits.MaximumQueued, defaults.MaximumQueued)
	fill(&limits.MaximumBatchItems, defaults.MaximumBatchItems)
	fill(&limits.MaximumBatches, defaults.MaximumBatches)
	fill(&limits.MaximumBatchBytes, defaults.MaximumBatchBytes)
	fill(&limits.BatchConcurrency, defaults.BatchConcurrency)
	fill(&limits.MaximumEventBytes, defaults.MaximumEventBytes)
	fill(&limits.MaximumAnswerBytes, defaults.MaximumAnswerBytes)
}

func fillTimes(times *Times, defaults Times) {
	fill(&times.ReadTimeout, defaults.ReadTimeout)
	fill(&times.IdleTimeout, defaults.IdleTimeout)
	fill(&times.WriteTimeout, defaults.WriteTimeout)
	fill(&times.DefaultDeadline, defaults.DefaultDeadline)
	fill(&times.MaximumDeadline, defaults.MaximumDeadline)
	fill(&times.MaximumWait, defaults.MaximumWait)
	fill(&times.DialTimeout, defaults.DialTimeout)
	fill(&times.SendTimeout, defaults.SendTimeout)
	fill(&times.AcceptTimeout, defaults.AcceptTimeout)
	fill(&times.FirstTokenTimeout, defaults.FirstTokenTimeout)
	fill(&times.StallTimeout, defaults.StallTimeout)
	fill(&times.MoveAfter, defaults.MoveAfter)
	fill(&times.IdleBackEndTime, defaults.IdleBackEndTime)
	fill(&times.LeavingGrace, defaults.LeavingGrace)
	fill(&times.BatchKeepTime, defaults.BatchKeepTime)
	fill(&times.BatchCollectTime, defaults.BatchCollectTime)
}

func fill[T int | int64 | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
