package controller

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-playground/validator/v10"

	"github.com/pierhaven/pierhaven/coordination/storage"
	"github.com/pierhaven/pierhaven/internal/poison"
)

// Settings configure a Controller. Times and bounds that are zero get their
// defaults.
type Settings struct {
	// ID is this controller's id, Zone the name of its zone and Zones the names of
	// all zones.
	ID    string   `validate:"required,max=128"`
	Zone  string   `validate:"required,max=64"`
	Zones []string `validate:"required,unique,dive,required,max=64"`

	// ListenAddress serves gateways and other controllers. They reach it at
	// AdvertiseAddress, which defaults to ListenAddress.
	ListenAddress    string `validate:"required,hostname_port"`
	AdvertiseAddress string `validate:"omitempty,hostname_port"`
	// OperatorListenAddress serves operators, health and metrics.
	OperatorListenAddress string `validate:"required,hostname_port"`
	// DataFolder holds all data that the controller stores.
	DataFolder string `validate:"required"`

	// ZoneVoters are the advertised addresses of the zone group's initial
	// voters. The first of them in lexical order founds the group.
	ZoneVoters []string `validate:"required,unique,dive,hostname_port"`
	// ConfigVoters are the same for the config group.
	// ConfigVoter is set if this controller hosts a replica of that group.
	ConfigVoters []string `validate:"required,unique,dive,hostname_port"`
	ConfigVoter  bool
	// OtherZones holds the addresses of other zones' controllers; those of the
	// machine list are added.
	OtherZones []ZoneControllers `validate:"dive"`

	// Engines and BackEnds are the zone's engines and application back ends, in
	// addition to those of the machine list.
	Engines  []BackEndAddress `validate:"dive"`
	BackEnds []BackEndAddress `validate:"dive"`
	// MachineListAddress and WeightStoreAddress are the addresses of the platform's
	// machine list and weight store; empty if there is none.
	MachineListAddress string `validate:"omitempty,hostname_port"`
	WeightStoreAddress string `validate:"omitempty,hostname_port"`

	// ClusterToken is the token of internal calls, shared by all processes. If it is
	// empty, calls are not checked.
	ClusterToken string
	// OperatorTokenHashes are SHA-256 hashes (hex) of the operators' tokens.
	OperatorTokenHashes []string `validate:"dive,len=64,hexadecimal"`

	// ElectionTimeout and RaftHeartbeat apply to the zone group and the config group.
	ElectionTimeout time.Duration `validate:"gte=0"`
	RaftHeartbeat   time.Duration `validate:"gte=0"`
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries uint64
	// SessionHeartbeat, SessionLease and IsolationLimit are the terms of new
	// sessions; see wire.Terms.
	SessionHeartbeat time.Duration `validate:"gte=0"`
	SessionLease     time.Duration `validate:"gte=0"`
	IsolationLimit   time.Duration `validate:"gte=0"`
	// EnginePollInterval is the time between two polls of an engine.
	EnginePollInterval time.Duration `validate:"gte=0"`
	// PlatformPollInterval is the time between two polls of the machine list.
	PlatformPollInterval time.Duration `validate:"gte=0"`
	// ProposalTimeout bounds the wait for a commit.
	ProposalTimeout time.Duration `validate:"gte=0"`
	// RequestHold is the time for which a request that crashes engines is held.
	RequestHold time.Duration `validate:"gte=0"`
	// OnceOnlyRetention and OnceOnlyMaxRecords bound the once-only records.
	OnceOnlyRetention  time.Duration `validate:"gte=0"`
	OnceOnlyMaxRecords int           `validate:"gte=0"`
	// Workers bounds the concurrent calls to engines and peers.
	Workers int `validate:"gte=0"`
	// MaximumBodyBytes bounds the body of an internal call.
	MaximumBodyBytes int `validate:"gte=0"`
	// MaximumWatches bounds the long polls that wait concurrently.
	MaximumWatches int `validate:"gte=0"`

	// Version is the program's version, shown on the status page.
	Version string
	// Logger receives log messages; the zero value discards them.
	Logger logr.Logger
	// DumpLog writes the in-memory log ring to a file and returns its path; nil if
	// there is no log ring.
	DumpLog func(reason string) (string, error)
	// Listener and OperatorListener replace the listen addresses, for
	// processes that inherit their sockets and for tests.
	Listener         net.Listener
	OperatorListener net.Listener
	// FileSystem holds the data folder; nil means the operating system's.
	FileSystem storage.FileSystem
}

// ZoneControllers are the advertised addresses of a zone's controllers.
type ZoneControllers struct {
	Zone        string   `validate:"required,max=64"`
	Controllers []string `validate:"required,dive,hostname_port"`
}

// BackEndAddress is the id and address of an engine or an application back end.
type BackEndAddress struct {
	ID      string `validate:"required,max=128"`
	Address string `validate:"required,hostname_port"`
}

// Defaults of Settings.
const (
	defaultElectionTimeout      = time.Second
	defaultRaftHeartbeat        = 100 * time.Millisecond
	defaultSnapshotEntries      = 10_000
	defaultSessionHeartbeat     = time.Second
	defaultSessionLease         = 4 * time.Second
	defaultIsolationLimit       = 6 * time.Hour
	defaultEnginePollInterval   = 500 * time.Millisecond
	defaultPlatformPollInterval = 2 * time.Second
	defaultProposalTimeout      = 5 * time.Second
	defaultOnceOnlyRetention    = 24 * time.Hour
	defaultOnceOnlyMaxRecords   = 1_000_000
	defaultWorkers              = 1024
	defaultMaximumBodyBytes     = 16 << 20
	defaultMaximumWatches       = 4096
)

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.AdvertiseAddress, s.ListenAddress)
	orDefault(&s.ElectionTimeout, defaultElectionTimeout)
	orDefault(&s.RaftHeartbeat, min(defaultRaftHeartbeat, s.ElectionTimeout/5))
	orDefault(&s.SnapshotEntries, defaultSnapshotEntries)
	orDefault(&s.SessionHeartbeat, defaultSessionHeartbeat)
	orDefault(&s.SessionLease, defaultSessionLease)
	orDefault(&s.IsolationLimit, defaultIsolationLimit)
	orDefault(&s.EnginePollInterval, defaultEnginePollInterval)
	orDefault(&s.PlatformPollInterval, defaultPlatformPollInterval)
	orDefault(&s.ProposalTimeout, defaultProposalTimeout)
	orDefault(&s.OnceOnlyRetention, defaultOnceOnlyRetention)
	orDefault(&s.RequestHold, poison.DefaultHold)
	orDefault(&s.OnceOnlyMaxRecords, defaultOnceOnlyMaxRecords)
	orDefault(&s.Workers, defaultWorkers)
	orDefault(&s.MaximumBodyBytes, defaultMaximumBodyBytes)
	orDefault(&s.MaximumWatches, defaultMaximumWatches)
	if s.Logger.IsZero() {
		s.Logger = logr.Discard()
	}
	if s.FileSystem == nil {
		s.FileSystem = storage.OSFileSystem{}
	}
	return s
}

// check validates the settings and returns all errors joined.
func (s Settings) check() error {
	problems := []error{validator.New(validator.WithRequiredStructEnabled()).Struct(s)}
	problem := func(format string, arguments ...any) {
		problems = append(problems, fmt.Errorf(format, arguments...))
	}
	if !slices.Contains(s.Zones, s.Zone) {
		problem("zone %q is not among the zones", s.Zone)
	}
	if s.RaftHeartbeat >= s.ElectionTimeout {
		problem("raft heartbeat %s must be shorter than the election timeout %s", s.RaftHeartbeat, s.ElectionTimeout)
	}
	if s.SessionHeartbeat >= s.SessionLease || s.SessionLease > s.IsolationLimit {
		problem("session heartbeat %s, lease %s and isolation limit %s must rise", s.SessionHeartbeat, s.SessionLease, s.IsolationLimit)
	}
	if slices.Contains(s.ConfigVoters, s.AdvertiseAddress) && !s.ConfigVoter {
		problem("%s is among the config voters, but the controller is not a config voter", s.AdvertiseAddress)
	}
	return errors.Join(problems...)
}
