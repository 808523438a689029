package cli

import (
	"github.com/pierhaven/pierhaven/internal/config/static"
	"github.com/pierhaven/pierhaven/internal/controller"
	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/gateway"
)

// gatewaySettings turns the settings file into what a gateway takes.
func gatewaySettings(settings static.Settings) (gateway.Settings, error) {
	common, section := settings.Common, settings.Gateway
	token, err := clusterToken(common)
	if err != nil {
		return gateway.Settings{}, err
	}
	converted := gateway.Settings{
		ID:           common.Name,
		Zone:         common.Zone,
		Zones:        common.Zones,
		Listen:       section.ListenAddress,
		PeerListen:   section.PeerListenAddress,
		Controllers:  common.Controllers,
		ClusterToken: token,
		DataFolder:   logFolderOf(common),
		Log: gateway.LogSettings{
			Entries:      common.LogEntries,
			Verbosity:    common.LogVerbosity,
			Threshold:    logThreshold(common),
			MaximumFiles: common.LogMaxFiles,
		},
		Limits: gateway.Limits{
			MaximumBodyBytes:   section.MaxBodyBytes,
			MaximumHeaderBytes: section.MaxHeaderBytes,
			MaximumConnections: section.MaxConnections,
			MaximumRequests:    section.MaxRequests,
			MaximumWorkers:     section.MaxWorkers,
			MaximumQueued:      section.MaxQueued,
			MaximumBatchItems:  section.MaxBatchItems,
			MaximumBatches:     section.MaxBatches,
			MaximumBatchBytes:  int64(section.MaxBatchBytes),
			BatchConcurrency:   section.BatchConcurrency,
			MaximumEventBytes:  section.MaxEventBytes,
			MaximumAnswerBytes: section.MaxAnswerBytes,
		},
		Times: gatewayTimes(section),
	}
	for _, peer := range section.Peers {
		zone, address := static.SplitNamedAddress(peer)
		converted.Peers = append(converted.Peers, gateway.Peer{Zone: zone, Address: address})
	}
	return converted, nil
}

func gatewayTimes(section static.Gateway) gateway.Times {
	return gateway.Times{
		ReadTimeout:       section.ReadTimeout,
		IdleTimeout:       section.IdleTimeout,
		WriteTimeout:      section.WriteTimeout,
		DefaultDeadline:   section.DefaultDeadline,
		MaximumDeadline:   section.MaxDeadline,
		MaximumWait:       section.MaxWait,
		DialTimeout:       section.DialTimeout,
		SendTimeout:       section.SendTimeout,
		AcceptTimeout:     section.AcceptTimeout,
		FirstTokenTimeout: section.FirstTokenTimeout,
		StallTimeout:      section.StallTimeout,
		MoveAfter:         section.MoveAfter,
		IdleBackEndTime:   section.IdleBackEndTime,
		LeavingGrace:      section.LeavingGrace,
		BatchKeepTime:     section.BatchKeepTime,
		BatchCollectTime:  section.BatchCollectTime,
	}
}

// controllerSettings turns the settings file into what a controller takes.
func controllerSettings(settings static.Settings) (controller.Settings, error) {
	common, section := settings.Common, settings.Controller
	token, err := clusterToken(common)
	if err != nil {
		return controller.Settings{}, err
	}
	return controller.Settings{
		ID:                    common.Name,
		Zone:                  common.Zone,
		Zones:                 common.Zones,
		ListenAddress:         section.ListenAddress,
		AdvertiseAddress:      section.AdvertiseAddress,
		OperatorListenAddress: section.OperatorListenAddress,
		DataFolder:            common.DataFolder,
		ZoneVoters:            section.ZoneVoters,
		ConfigVoters:          section.ConfigVoters,
		ConfigVoter:           section.ConfigVoter,
		OtherZones:            otherZones(section.OtherZones),
		Engines:               backEndAddresses(section.Engines),
		BackEnds:              backEndAddresses(section.BackEnds),
		MachineListAddress:    section.MachineListAddress,
		WeightStoreAddress:    section.WeightStoreAddress,
		ClusterToken:          token,
		OperatorTokenHashes:   section.OperatorTokenHashes,
		ElectionTimeout:       section.ElectionTimeout,
		RaftHeartbeat:         section.RaftHeartbeat,
		SnapshotEntries:       uint64(section.SnapshotEntries),
		SessionHeartbeat:      section.SessionHeartbeat,
		SessionLease:          section.SessionLease,
		IsolationLimit:        section.IsolationLimit,
		EnginePollInterval:    section.EnginePollInterval,
		PlatformPollInterval:  section.PlatformPollInterval,
		ProposalTimeout:       section.ProposalTimeout,
		RequestHold:           section.RequestHold,
		OnceOnlyRetention:     section.OnceOnlyRetention,
		OnceOnlyMaxRecords:    section.OnceOnlyMaxRecords,
		Workers:               section.Workers,
		MaximumBodyBytes:      section.MaxBodyBytes,
		MaximumWatches:        section.MaxWatches,
		Version:               Version,
	}, nil
}

// otherZones groups the addresses of other zones' controllers by zone, in the
// order of their first mention.
func otherZones(named []string) []controller.ZoneControllers {
	var zones []controller.ZoneControllers
	positions := map[string]int{}
	for _, each := range named {
		zone, address := static.SplitNamedAddress(each)
		position, known := positions[zone]
		if !known {
			position = len(zones)
			positions[zone] = position
			zones = append(zones, controller.ZoneControllers{Zone: zone})
		}
		zones[position].Controllers = append(zones[position].Controllers, address)
	}
	return zones
}

func backEndAddresses(named []string) []controller.BackEndAddress {
	var addresses []controller.BackEndAddress
	for _, each := range named {
		id, address := static.SplitNamedAddress(each)
		addresses = append(addresses, controller.BackEndAddress{ID: id, Address: address})
	}
	return addresses
}

// logThreshold is the severity that a setting names; the check of the settings
// has refused unknown names.
func logThreshold(common static.Common) failure.Severity {
	severity, known := failure.ParseSeverity(common.LogThreshold)
	if !known {
		return failure.SeverityAlarm
	}
	return severity
}
