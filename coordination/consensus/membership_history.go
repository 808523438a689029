package consensus

import "fmt"

// indexedConfiguration is a configuration with the log index of its entry.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// membershipHistory holds the configurations in the log. The latest one takes
// effect when it is appended, before it is committed (Ongaro 2014, section 4.1).
type membershipHistory struct {
	configurations []indexedConfiguration
}

func newMembershipHistory(snapshot Snapshot) membershipHistory {
	first := indexedConfiguration{index: snapshot.Index, configuration: snapshot.Configuration.Clone()}
	return membershipHistory{configurations: []indexedConfiguration{first}}
}

func (h *membershipHistory) latest() Configuration {
	return h.configurations[len(h.configurations)-1].configuration
}

func (h *membershipHistory) latestIndex() uint64 {
	return h.configurations[len(h.configurations)-1].index
}

// at returns the configuration in effect at a log index.
func (h *membershipHistory) at(index uint64) Configuration { return h.entryAt(index).configuration }

// entryAt returns the configuration in effect at a log index, and its own index.
func (h *membershipHistory) entryAt(index uint64) indexedConfiguration {
	for i := len(h.configurations) - 1; i > 0; i-- {
		if h.configurations[i].index <= index {
			return h.configurations[i]
		}
	}
	return h.configurations[0]
}

// append adds the configurations among appended entries.
func (h *membershipHistory) append(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryConfiguration {
			continue
		}
		configuration, err := DecodeConfiguration(entry.Data)
		if err != nil {
			return fmt.Errorf("consensus: configuration at %d: %w", entry.Index, err)
		}
		h.configurations = append(h.configurations, indexedConfiguration{entry.Index, configuration})
	}
	return nil
}

// truncate drops the configurations from index on.
func (h *membershipHistory) truncate(index uint64) {
	for len(h.configurations) > 1 && h.latestIndex() >= index {
		h.configurations = h.configurations[:len(h.configurations)-1]
	}
}

// compact drops the configurations that were superseded at or before index.
func (h *membershipHistory) compact(index uint64) {
	for len(h.configurations) > 1 && h.configurations[1].index <= index {
		h.configurations = h.configurations[1:]
	}
}

// DecodeConfiguration decodes the data of an EntryConfiguration.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var configuration Configuration
	_, err := configuration.UnmarshalMsg(data)
	return configuration, err
}
