package scale

import (
	"fmt"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"github.com/shirou/gopsutil/v4/cpu"
	"github.com/shirou/gopsutil/v4/mem"
)

// Machine describes where and when a run took place.
type Machine struct {
	Processor string    `json:"processor"`
	Cores     int       `json:"cores"`
	Memory    uint64    `json:"memory_bytes"`
	System    string    `json:"system"`
	Go        string    `json:"go"`
	Revision  string    `json:"revision"`
	Time      time.Time `json:"time"`
}

// String returns the machine on one line.
func (m Machine) String() string {
	return fmt.Sprintf("%s, %d cores, %.0f GiB, %s, %s, revision %s, %s",
		m.Processor, m.Cores, float64(m.Memory)/(1<<30), m.System, m.Go, m.Revision, m.Time.Format(time.RFC3339))
}

// describeMachine returns what can be determined about this machine.
func describeMachine() Machine {
	machine := Machine{
		Processor: "unknown processor", Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH,
		Go: runtime.Version(), Revision: sourceRevision(), Time: time.Now().UTC(),
	}
	if processors, err := cpu.Info(); err == nil && len(processors) > 0 {
		machine.Processor = processors[0].ModelName
	}
	if memory, err := mem.VirtualMemory(); err == nil {
		machine.Memory = memory.Total
	}
	return machine
}

// sourceRevision returns the commit of the working folder, marked if files differ from it.
func sourceRevision() string {
	output, err := exec.Command("git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(output))
}
