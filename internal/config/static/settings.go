package static

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/poison"
)

// Section names a part of the settings.
type Section string

// Sections of the settings.
const (
	SectionCommon     Section = "common"
	SectionGateway    Section = "gateway"
	SectionController Section = "controller"
)

// Settings is the whole file.
type Settings struct {
	Common     Common     `koanf:"common"`
	Gateway    Gateway    `koanf:"gateway"`
	Controller Controller `koanf:"controller"`
}

// Common is what gateways and controllers share.
type Common struct {
	Name             string        `koanf:"name" validate:"required,max=64,printascii,excludesall= /" help:"name of this process, unique in the deployment and the same over restarts"`
	Zone             string        `koanf:"zone" validate:"required,max=64,printascii,excludesall= /" help:"zone of this process"`
	Zones            []string      `koanf:"zones" validate:"unique,dive,required,max=64" help:"all zones of the deployment"`
	DataFolder       string        `koanf:"data_folder" validate:"omitempty,writable_folder" help:"folder for everything that the process writes"`
	Controllers      []string      `koanf:"controllers" validate:"unique,dive,specific_ip_port" help:"internal addresses (IP:port) of the zone's controllers"`
	ClusterTokenFile string        `koanf:"cluster_token_file" validate:"omitempty,readable_file" help:"file with the token that all processes share; empty checks nothing"`
	StopDeadline     time.Duration `koanf:"stop_deadline" validate:"gt=0" help:"time that a planned stop may take before it cuts"`
	LogEntries       int           `koanf:"log_entries" validate:"gte=16,lte=10000000" help:"records that the log ring keeps in memory"`
	LogVerbosity     int           `koanf:"log_verbosity" validate:"gte=0,lte=10" help:"highest level of log records that are kept"`
	LogThreshold     string        `koanf:"log_threshold" validate:"oneof=notable alarm" help:"least severity of an error that has the log written: notable or alarm"`
	LogMaxFiles      int           `koanf:"log_max_files" validate:"gte=1,lte=10000" help:"log dumps that are kept in the data folder"`
}

// Gateway is the section of a gateway.
type Gateway struct {
	ListenAddress     string        `koanf:"listen_address" validate:"required,specific_ip_port" help:"address (IP:port) for callers"`
	PeerListenAddress string        `koanf:"peer_listen_address" validate:"omitempty,specific_ip_port" help:"address (IP:port) for other zones' gateways; empty takes no spilled work"`
	Peers             []string      `koanf:"peers" validate:"unique,dive,named_address" help:"other zones' gateways that work may spill to, each ZONE=IP:port"`
	MaxBodyBytes      int           `koanf:"max_body_bytes" validate:"gte=1024,lte=1073741824" help:"largest request body"`
	MaxHeaderBytes    int           `koanf:"max_header_bytes" validate:"gte=1024,lte=16777216" help:"largest request header"`
	MaxConnections    int           `koanf:"max_connections" validate:"gte=1,lte=1000000" help:"bound of callers' connections"`
	MaxRequests       int           `koanf:"max_requests" validate:"gte=1,lte=1000000" help:"bound of requests in hand"`
	MaxWorkers        int           `koanf:"max_workers" validate:"gte=1,lte=1000000" help:"bound of concurrent attempts, cancels and reports"`
	MaxQueued         int           `koanf:"max_queued" validate:"gte=1,lte=1000000" help:"bound of requests that wait for an engine, by model"`
	MaxBatchItems     int           `koanf:"max_batch_items" validate:"gte=1,lte=1000000" help:"most items in one batch"`
	MaxBatches        int           `koanf:"max_batches" validate:"gte=1,lte=100000" help:"most batches that are kept"`
	MaxBatchBytes     int           `koanf:"max_batch_bytes" validate:"gte=1024" help:"bound of the kept answers of all batches"`
	BatchConcurrency  int           `koanf:"batch_concurrency" validate:"gte=1,lte=100000" help:"items of one batch that run at the same time"`
	MaxEventBytes     int           `koanf:"max_event_bytes" validate:"gte=1024,lte=1073741824" help:"largest event of an engine's stream"`
	MaxAnswerBytes    int           `koanf:"max_answer_bytes" validate:"gte=1024,lte=1073741824" help:"largest answer of an application"`
	ReadTimeout       time.Duration `koanf:"read_timeout" validate:"gt=0" help:"time that a caller may take to send a request"`
	IdleTimeout       time.Duration `koanf:"idle_timeout" validate:"gt=0" help:"time that a caller's connection may be idle"`
	WriteTimeout      time.Duration `koanf:"write_timeout" validate:"gt=0" help:"time that a caller may take to read a part of its answer"`
	DefaultDeadline   time.Duration `koanf:"default_deadline" validate:"gt=0" help:"deadline of a request that states none"`
	MaxDeadline       time.Duration `koanf:"max_deadline" validate:"gt=0" help:"longest deadline that a request may state"`
	MaxWait           time.Duration `koanf:"max_wait" validate:"gt=0" help:"time that a request may wait for an engine"`
	DialTimeout       time.Duration `koanf:"dial_timeout" validate:"gt=0" help:"time to connect to a back end"`
	SendTimeout       time.Duration `koanf:"send_timeout" validate:"gt=0" help:"time to hand a request over to a back end"`
	AcceptTimeout     time.Duration `koanf:"accept_timeout" validate:"gt=0" help:"time that an engine may take to accept an attempt"`
	FirstTokenTimeout time.Duration `koanf:"first_token_timeout" validate:"gt=0" help:"time that an accepted attempt may take to its first token"`
	StallTimeout      time.Duration `koanf:"stall_timeout" validate:"gt=0" help:"silence in a stream after which it is resumed elsewhere"`
	MoveAfter         time.Duration `koanf:"move_after" validate:"gt=0" help:"time that a stream may stay on an engine that takes no new work"`
	IdleBackEndTime   time.Duration `koanf:"idle_back_end_time" validate:"gt=0" help:"time that an unused connection to a back end is kept"`
	LeavingGrace      time.Duration `koanf:"leaving_grace" validate:"gt=0" help:"time that a leaving gateway goes on refusing new requests before it closes its listener"`
	BatchKeepTime     time.Duration `koanf:"batch_keep_time" validate:"gt=0" help:"time that the results of a finished batch are kept"`
	BatchCollectTime  time.Duration `koanf:"batch_collect_time" validate:"gt=0" help:"time that a leaving gateway waits for the results of finished batches to be fetched"`
}

// Controller is the section of a controller.
type Controller struct {
	ListenAddress         string        `koanf:"listen_address" validate:"required,ip_port" help:"address (IP:port) for the system's own processes"`
	OperatorListenAddress string        `koanf:"operator_listen_address" validate:"required,ip_port" help:"address (IP:port) for operators, health and metrics"`
	AdvertiseAddress      string        `koanf:"advertise_address" validate:"omitempty,specific_ip_port" help:"address (IP:port) at which other processes reach this one; default listen_address"`
	ZoneVoters            []string      `koanf:"zone_voters" validate:"required,unique,dive,specific_ip_port" help:"advertised addresses of the zone group's first voters"`
	ConfigVoter           bool          `koanf:"config_voter" help:"take part in the config group"`
	ConfigVoters          []string      `koanf:"config_voters" validate:"required,unique,dive,specific_ip_port" help:"advertised addresses of the config group's first voters"`
	OtherZones            []string      `koanf:"other_zones" validate:"unique,dive,named_address" help:"other zones' controllers, each ZONE=IP:port; those of the machine list are added"`
	Engines               []string      `koanf:"engines" validate:"unique,dive,named_address" help:"the zone's engines, each ID=IP:port; those of the machine list are added"`
	BackEnds              []string      `koanf:"back_ends" validate:"unique,dive,named_address" help:"the zone's application back ends, each ID=IP:port; those of the machine list are added"`
	MachineListAddress    string        `koanf:"machine_list_address" validate:"omitempty,specific_ip_port" help:"address (IP:port) of the platform's machine list"`
	WeightStoreAddress    string        `koanf:"weight_store_address" validate:"omitempty,specific_ip_port" help:"address (IP:port) of the platform's weight store"`
	OperatorTokenHashes   []string      `koanf:"operator_token_hashes" validate:"unique,dive,len=64,hexadecimal" help:"SHA-256 hashes (hex) of the operators' tokens; empty lets everyone in"`
	ElectionTimeout       time.Duration `koanf:"election_timeout" validate:"gte=10ms,lte=1m" help:"shortest time without a leader before an election"`
	RaftHeartbeat         time.Duration `koanf:"raft_heartbeat" validate:"gte=1ms,lte=10s" help:"time between a leader's heartbeats"`
	SnapshotEntries       int           `koanf:"snapshot_entries" validate:"gte=10,lte=100000000" help:"log entries between snapshots"`
	SessionHeartbeat      time.Duration `koanf:"session_heartbeat" validate:"gte=1ms" help:"time between a gateway's heartbeats"`
	SessionLease          time.Duration `koanf:"session_lease" validate:"gte=1ms" help:"time without an answered heartbeat after which a gateway uses only its isolation set"`
	IsolationLimit        time.Duration `koanf:"isolation_limit" validate:"gte=1ms" help:"time without an answered heartbeat after which a gateway dispatches nothing"`
	EnginePollInterval    time.Duration `koanf:"engine_poll_interval" validate:"gt=0" help:"time between two looks at an engine's state"`
	PlatformPollInterval  time.Duration `koanf:"platform_poll_interval" validate:"gt=0" help:"time between two looks at the machine list"`
	ProposalTimeout       time.Duration `koanf:"proposal_timeout" validate:"gt=0" help:"time to wait for a commit"`
	RequestHold           time.Duration `koanf:"request_hold" validate:"gte=1m" help:"time that a request is held under which engines have ended"`
	OnceOnlyRetention     time.Duration `koanf:"once_only_retention" validate:"gte=1m" help:"time that once-only records are kept"`
	OnceOnlyMaxRecords    int           `koanf:"once_only_max_records" validate:"gte=1,lte=4194304" help:"most once-only records that are kept"`
	Workers               int           `koanf:"workers" validate:"gte=1,lte=1000000" help:"bound of calls to engines and peers at the same time"`
	MaxBodyBytes          int           `koanf:"max_body_bytes" validate:"gte=65536,lte=1073741824" help:"largest body of an internal call"`
	MaxWatches            int           `koanf:"max_watches" validate:"gte=1,lte=1000000" help:"most long polls that wait at the same time"`
}

// Defaults returns the settings that hold where nothing else is said.
func Defaults() Settings {
	return Settings{Common: defaultCommon(), Gateway: defaultGateway(), Controller: defaultController()}
}

func defaultCommon() Common {
	return Common{
		StopDeadline: 2 * time.Minute,
		LogEntries:   8192,
		LogThreshold: "alarm",
		LogMaxFiles:  16,
	}
}

func defaultGateway() Gateway {
	return Gateway{
		MaxBodyBytes:      4 << 20,
		MaxHeaderBytes:    16 << 10,
		MaxConnections:    8192,
		MaxRequests:       4096,
		MaxWorkers:        8192,
		MaxQueued:         4096,
		MaxBatchItems:     4000,
		MaxBatches:        64,
		MaxBatchBytes:     256 << 20,
		BatchConcurrency:  64,
		MaxEventBytes:     256 << 10,
		MaxAnswerBytes:    1 << 20,
		ReadTimeout:       10 * time.Second,
		IdleTimeout:       time.Minute,
		WriteTimeout:      10 * time.Second,
		DefaultDeadline:   2 * time.Minute,
		MaxDeadline:       10 * time.Minute,
		MaxWait:           10 * time.Second,
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
	}
}

func defaultController() Controller {
	return Controller{
		ElectionTimeout:      time.Second,
		RaftHeartbeat:        100 * time.Millisecond,
		SnapshotEntries:      10_000,
		SessionHeartbeat:     time.Second,
		SessionLease:         4 * time.Second,
		IsolationLimit:       6 * time.Hour,
		EnginePollInterval:   500 * time.Millisecond,
		PlatformPollInterval: 2 * time.Second,
		ProposalTimeout:      5 * time.Second,
		RequestHold:          poison.DefaultHold,
		OnceOnlyRetention:    24 * time.Hour,
		OnceOnlyMaxRecords:   1_000_000,
		Workers:              1024,
		MaxBodyBytes:         16 << 20,
		MaxWatches:           4096,
	}
}
