package scale

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/shirou/gopsutil/v4/process"

	"github.com/pierhaven/pierhaven/bench/fleet"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	Processor time.Duration
	// ResidentBytes is the current memory, not a sum.
	ResidentBytes uint64
	// ReadBytes and WrittenBytes are those of read and write calls, to sockets and files. Reads and Writes count the
	// calls.
	ReadBytes, WrittenBytes uint64
	Reads, Writes           uint64
	// DiskBytes are the bytes written to disk.
	DiskBytes uint64
}

// usageOf reads the usage of a process from the kernel.
func usageOf(number int) (Usage, error) {
	running, err := process.NewProcess(int32(number))
	if err != nil {
		return Usage{}, merry.Prependf(err, "process %d", number)
	}
	times, err := running.Times()
	if err != nil {
		return Usage{}, merry.Prependf(err, "processor time of %d", number)
	}
	memory, err := running.MemoryInfo()
	if err != nil {
		return Usage{}, merry.Prependf(err, "memory of %d", number)
	}
	transfers, err := running.IOCounters()
	if err != nil {
		return Usage{}, merry.Prependf(err, "transfers of %d", number)
	}
	return Usage{
		Processor:     time.Duration((times.User + times.System) * float64(time.Second)),
		ResidentBytes: memory.RSS,
		ReadBytes:     transfers.ReadBytes,
		WrittenBytes:  transfers.WriteBytes,
		Reads:         transfers.ReadCount,
		Writes:        transfers.WriteCount,
		DiskBytes:     transfers.DiskWriteBytes,
	}, nil
}

// Rates is the resource usage per second of a process, or of a part of it.
type Rates struct {
	// Core is the processor time as a share of one core.
	Core float64 `json:"core"`
	// ReceivedBytes and SentBytes are bytes a second, including HTTP headers, without those of TCP and IP. For
	// controllers, they include files.
	ReceivedBytes float64 `json:"received_bytes_per_second"`
	SentBytes     float64 `json:"sent_bytes_per_second"`
	// Messages is the number of write calls a second.
	Messages      float64 `json:"messages_per_second"`
	DiskBytes     float64 `json:"disk_bytes_per_second"`
	ResidentBytes float64 `json:"resident_bytes"`
}

// rates returns the usage between two samples of one process.
func (u Usage) rates(earlier Usage, span time.Duration) Rates {
	seconds := span.Seconds()
	perSecond := func(now, before uint64) float64 { return float64(now-before) / seconds }
	return Rates{
		Core:          (u.Processor - earlier.Processor).Seconds() / seconds,
		ReceivedBytes: perSecond(u.ReadBytes, earlier.ReadBytes),
		SentBytes:     perSecond(u.WrittenBytes, earlier.WrittenBytes),
		Messages:      perSecond(u.Writes, earlier.Writes),
		DiskBytes:     perSecond(u.DiskBytes, earlier.DiskBytes),
		ResidentBytes: float64(u.ResidentBytes),
	}
}

// dividedBy returns the usage per simulated node of a process.
func (r Rates) dividedBy(parts float64) Rates {
	return Rates{
		Core:          r.Core / parts,
		ReceivedBytes: r.ReceivedBytes / parts,
		SentBytes:     r.SentBytes / parts,
		Messages:      r.Messages / parts,
		DiskBytes:     r.DiskBytes / parts,
		ResidentBytes: r.ResidentBytes / parts,
	}
}

func (r Rates) plus(other Rates) Rates {
	return Rates{
		Core:          r.Core + other.Core,
		ReceivedBytes: r.ReceivedBytes + other.ReceivedBytes,
		SentBytes:     r.SentBytes + other.SentBytes,
		Messages:      r.Messages + other.Messages,
		DiskBytes:     r.DiskBytes + other.DiskBytes,
		ResidentBytes: r.ResidentBytes + other.ResidentBytes,
	}
}

// sample reads the usage of all processes.
type sample struct {
	at    time.Time
	usage map[string]Usage
}

func takeSample(processes []*fleet.Process) (*sample, error) {
	taken := &sample{at: time.Now(), usage: make(map[string]Usage, len(processes))}
	for _, each := range processes {
		if !each.Running() {
			continue
		}
		usage, err := usageOf(each.ProcessID())
		if err != nil {
			return nil, merry.Prependf(err, "%s", each.Name)
		}
		taken.usage[each.Name] = usage
	}
	return taken, nil
}

// rates returns the usage of a process between two samples; found is false unless it is in both.
func (s *sample) rates(earlier *sample, name string) (rates Rates, found bool) {
	now, running := s.usage[name]
	before, ran := earlier.usage[name]
	if !running || !ran {
		return Rates{}, false
	}
	return now.rates(before, s.at.Sub(earlier.at)), true
}

// residentBytes returns the memory of all processes together.
func (s *sample) residentBytes() uint64 {
	var sum uint64
	for _, usage := range s.usage {
		sum += usage.ResidentBytes
	}
	return sum
}
