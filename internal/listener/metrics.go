package listener

import "github.com/prometheus/client_golang/prometheus"

// Collector collects the metrics of a Memory and of the listeners that use it.
type Collector struct {
	memory                         *Memory
	held, most, connections, ended *prometheus.Desc
}

// NewCollector returns a collector whose metrics' names begin with a prefix.
func NewCollector(prefix string, memory *Memory) *Collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prefix+"_"+name, help, labels, nil)
	}
	return &Collector{
		memory:      memory,
		held:        describe("request_bytes_held", "Bytes that are kept of requests now."),
		most:        describe("request_bytes_held_most", "The most of these bytes since the start."),
		connections: describe("connections", "Open connections by listener and by what they are at.", "listener", "state"),
		ended:       describe("connections_ended_total", "Connections closed, or requests refused on them, before any handler, by listener and cause.", "listener", "cause"),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(described chan<- *prometheus.Desc) {
	for _, each := range []*prometheus.Desc{c.held, c.most, c.connections, c.ended} {
		described <- each
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(collected chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value int64, labels ...string) {
		collected <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	gauge(c.held, c.memory.Held())
	gauge(c.most, c.memory.Most())
	for _, l := range c.memory.users() {
		for state, count := range l.Phases() {
			gauge(c.connections, int64(count), l.Name, state)
		}
		for cause, count := range l.Endings() {
			collected <- prometheus.MustNewConstMetric(c.ended, prometheus.CounterValue, float64(count), l.Name, cause)
		}
	}
}
