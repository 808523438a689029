package scale

import "time"

// Budgets of the target deployment.
const (
	budgetNodeCore        = 0.033     // of one core
	budgetNodeMemory      = 128 << 20 // bytes
	budgetNodeBytes       = 2000      // a second, received and sent together
	budgetControlMachines = 20
	budgetInForce         = 5 * time.Second
	// budgetRunMemory is half of the memory of the smallest machine that the run is meant for.
	budgetRunMemory = 15 << 30 // bytes
)

// Judgement is the comparison of a figure with its budget.
type Judgement struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Budget float64 `json:"budget"`
	// Measured is undefined unless Known is set.
	Measured float64 `json:"measured"`
	Known    bool    `json:"known"`
	Met      bool    `json:"met"`
}

// judge compares a measured figure with its budget.
func judge(name, unit string, budget, measured float64) Judgement {
	return Judgement{Name: name, Unit: unit, Budget: budget, Measured: measured, Known: true, Met: measured <= budget}
}

// unknown returns the judgement of a figure that the run could not measure; it counts as missed.
func unknown(name, unit string, budget float64) Judgement {
	return Judgement{Name: name, Unit: unit, Budget: budget}
}

const mebibyte = 1 << 20

// judgements compares the figures of a run with their budgets.
func (r *Report) judgements() []Judgement {
	list := []Judgement{
		judge("control traffic of a node", "bytes/s", budgetNodeBytes, r.HollowGateway.ReceivedBytes+r.HollowGateway.SentBytes),
		judge("processor of a node for control", "% of a core", 100*budgetNodeCore, 100*r.HollowGateway.Core),
		judge("processor of a real gateway without callers", "% of a core", 100*budgetNodeCore, 100*r.RealGateway.Core),
		judge("memory of a real gateway without callers", "MiB", budgetNodeMemory/mebibyte, r.RealGateway.ResidentBytes/mebibyte),
		judge("control machines", "machines", budgetControlMachines, float64(r.Size.Controllers)),
	}
	inForce := "configuration change in force on all, slowest"
	if r.Changes.InForce == 0 || r.Changes.Missing > 0 {
		list = append(list, unknown(inForce, "s", budgetInForce.Seconds()))
	} else {
		list = append(list, judge(inForce, "s", budgetInForce.Seconds(), r.Changes.Slowest.Seconds()))
	}
	return append(list, judge("memory of this run", "MiB", budgetRunMemory/mebibyte, r.RunMemory/mebibyte))
}
