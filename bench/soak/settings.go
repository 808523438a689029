package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// lay writes the settings of one process.
func (f *fleet) lay(number int, options Options) error {
	var seeds []string
	if number >= firstSpare {
		seeds = f.seeds()
	} else {
		for seed := range coordinators {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.ip(seed), operatorPort)))
		}
	}
	ip := f.ip(number)
	laid := &process{name: fmt.Sprintf("p%d", number), folder: filepath.Join(f.folder, fmt.Sprintf("data-%d", number)), binary: options.firstBinary(), seeds: seeds}
	common := f.zoneSettings() + fmt.Sprintf("name: p%d\nzone: %s\naddress: %s\ninternal_port: %d\n%s\nreplica_list: %s\nstop_seconds: 6\nlog_verbosity: 1\nmetrics_listen: %s:%d\nusage_window_seconds: %d\n%s",
		number, f.zoneOf(number), ip, internalPort, seedsLine(seeds), f.listAddress, ip, metricsPort, usageSeconds, quotaSettings())
	if options.Endless || options.Crowds {
		common += fmt.Sprintf("memory_megabytes: %d\n", options.allowedMegabytes())
	}
	if options.Crowds {
		common += fmt.Sprintf("file_descriptors: %d\n", crowdDescriptors)
	}
	if options.LongList {
		common += fmt.Sprintf("list_calls_per_second: %d\n", longListRate)
	}
	if number < coordinators || number >= firstSpare {
		laid.role = "coordinator"
		laid.address = fmt.Sprintf("%s:%d", ip, operatorPort)
		hidden := fmt.Sprintf("%s:%d", f.hiddenIP(number), internalPort)
		if _, err := f.proxy.ListenTCP(laid.name, fmt.Sprintf("%s:%d", ip, internalPort), hidden); err != nil {
			return err
		}
		common += "internal_listen: " + hidden + "\n"
		common += fmt.Sprintf("bootstrap: true\noperator_listen: %s\ndata_folder: %s\ntolerated_losses: 1\nlease_ms: %d\nplaces_above: %d\nactive_replicas: %d\nduties: [usage_report]\nusage_late_seconds: %d\n",
			laid.address, laid.folder, leaseMillis, f.placesAbove, f.activeReplicas, usageLateSeconds)
		common += withoutLine(options.CoordinatorsWithout)
		if options.LongList {
			common += fmt.Sprintf("drain_ms: %d\n", leaveTime.Milliseconds())
		}
		f.mutex.Lock()
		f.coordinators = append(f.coordinators, laid)
		f.mutex.Unlock()
	} else {
		laid.role = "relay"
		budget := options.retryBudget()
		laid.address = fmt.Sprintf("%s:%d", ip, callerPort)
		common += withoutLine(options.Without)
		common += fmt.Sprintf("listen: %s\nready_listen: %s:%d\nretry_ratio: %v\nretry_window_seconds: %d\nretry_slack: %d\ndrain_ms: %d\n",
			f.callerListen(number, options), ip, readyPort, budget.ratio, int(retryWindow.Seconds()), budget.slack, leaveTime.Milliseconds())
		if options.Plants.CutsAtVersions {
			if _, err := f.proxy.ListenTCP("callers-"+laid.name, laid.address, f.callerListen(number, options)); err != nil {
				return err
			}
		}
		f.mutex.Lock()
		f.gateways = append(f.gateways, laid)
		f.mutex.Unlock()
	}
	laid.settings, laid.text = filepath.Join(f.folder, laid.name+".yaml"), common
	var err error
	laid.log, err = os.Create(filepath.Join(f.folder, laid.name+".log"))
	return err
}

// withoutLine is the line of the settings that switches mechanisms off.
func withoutLine(mechanisms []string) string {
	if len(mechanisms) == 0 {
		return ""
	}
	return fmt.Sprintf("without: [%s]\n", strings.Join(mechanisms, ", "))
}

// callerListen returns where a gateway listens for callers: behind the proxy if their connections are to be cut.
func (f *fleet) callerListen(number int, options Options) string {
	if options.Plants.CutsAtVersions {
		return fmt.Sprintf("%s:%d", f.hiddenIP(number), callerPort)
	}
	return fmt.Sprintf("%s:%d", f.ip(number), callerPort)
}
