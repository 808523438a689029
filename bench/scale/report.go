package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"

	"github.com/pierhaven/pierhaven/bench/scale/hollow"
	"github.com/pierhaven/pierhaven/bench/truth"
)

// Report holds the results of a run.
type Report struct {
	Size     Size    `json:"size"`
	Fault    Fault   `json:"fault,omitempty"`
	Machine  Machine `json:"machine"`
	Seconds  float64 `json:"seconds"`
	Started  float64 `json:"start_seconds"`
	Proxied  bool    `json:"proxied"`
	Problems int     `json:"refused_changes"`

	// HollowGateway is one node's share of its worker, and RealGateway the mean of the real gateways, which get no
	// requests either.
	HollowGateway Rates `json:"hollow_gateway"`
	RealGateway   Rates `json:"real_gateway"`
	// ZoneLeader, ZoneFollower and ConfigLeader are means over controllers. The leader of the config group counts in
	// none of the others.
	ZoneLeader   Rates `json:"zone_leader"`
	ZoneFollower Rates `json:"zone_follower"`
	ConfigLeader Rates `json:"config_leader"`
	// ControlMachine is the usage of the busiest control machine, over all its processes.
	ControlMachine Rates `json:"control_machine"`
	// HollowEngine is one engine's share of its worker.
	HollowEngine Rates `json:"hollow_engine"`
	// Traffic is the traffic between one node and its controllers, by path.
	Traffic []PathTraffic `json:"traffic"`
	// OpeningBytes is the size of the bodies that one node received when it opened its session: the complete view and
	// the complete configuration.
	OpeningBytes float64 `json:"opening_bytes"`

	Changes    ChangeSummary `json:"changes"`
	OrdersDone int           `json:"orders_done"`
	Losses     []Loss        `json:"losses,omitempty"`
	Violations int           `json:"violations"`
	Details    []string      `json:"violation_details,omitempty"`
	RunMemory  float64       `json:"run_memory_bytes"`
	Judgements []Judgement   `json:"judgements"`
}

// PathTraffic is a node's use of one path: calls a second, and bytes of the
// MessagePack bodies of one call.
type PathTraffic struct {
	Path         string  `json:"path"`
	Calls        float64 `json:"calls_per_second"`
	Failed       uint64  `json:"failed"`
	RequestBytes float64 `json:"request_bytes_per_call"`
	ReplyBytes   float64 `json:"reply_bytes_per_call"`
}

// Loss is one measured effect of a loss.
type Loss struct {
	Event   string `json:"event"`
	Measure string `json:"measure"`
	// Time is undefined unless Known is set.
	Time  time.Duration `json:"time_ns"`
	Known bool          `json:"known"`
	Note  string        `json:"note,omitempty"`
}

func pathTraffic(now, earlier map[string]hollow.Traffic, seconds float64, nodes int) []PathTraffic {
	var list []PathTraffic
	for path, total := range now {
		span := total.Less(earlier[path])
		if span.Calls == 0 {
			continue
		}
		list = append(list, PathTraffic{
			Path:         path,
			Calls:        float64(span.Calls) / seconds / float64(nodes),
			Failed:       span.Failed,
			RequestBytes: float64(span.RequestBytes) / float64(span.Calls),
			ReplyBytes:   float64(span.ReplyBytes) / float64(span.Calls),
		})
	}
	slices.SortFunc(list, func(a, b PathTraffic) int {
		return int(b.Calls*(b.RequestBytes+b.ReplyBytes) - a.Calls*(a.RequestBytes+a.ReplyBytes))
	})
	return list
}

// takeTruth counts the violations and the executed orders in the ground truth.
func (r *Report) takeTruth(entries []truth.Entry) {
	checker := truth.NewChecker(truth.DefaultParameters())
	checker.Add(entries...)
	report := checker.Report()
	r.Violations = report.Counts.Total()
	r.OrdersDone = report.Totals.OrdersDone
	for _, detail := range report.Examples {
		r.Details = append(r.Details, fmt.Sprint(detail))
	}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return merry.Wrap(encoder.Encode(r))
}

// Write writes the report as tables.
func (r *Report) Write(out io.Writer) error {
	fmt.Fprintf(out, "%d nodes, %d replicas, %d zones, %d regions, %d control machines; %.1f s measured after a start of %.0f s\n",
		r.Size.Nodes, r.Size.Replicas, r.Size.Zones, r.Size.Regions, r.Size.Controllers, r.Seconds, r.Started)
	fmt.Fprintf(out, "%s\n", r.Machine)
	if r.Proxied {
		fmt.Fprintln(out, "the controllers stood behind a fault proxy: their byte and processor figures are not comparable")
	}
	for _, write := range []func(io.Writer) error{r.writeRoles, r.writeTraffic, r.writeLosses, r.writeBudgets} {
		if err := write(out); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "opening a session: %.0f bytes\n", r.OpeningBytes)
	fmt.Fprintf(out, "changes: %d accepted, %d refused, %d in force on all, %d not; median %.2f s, slowest %.2f s\n",
		r.Changes.Accepted, r.Problems, r.Changes.InForce, r.Changes.Missing, r.Changes.Median.Seconds(), r.Changes.Slowest.Seconds())
	fmt.Fprintf(out, "orders carried out: %d; violations: %d\n", r.OrdersDone, r.Violations)
	for _, detail := range r.Details {
		fmt.Fprintln(out, "  ", detail)
	}
	return nil
}

func (r *Report) writeRoles(out io.Writer) error {
	table := newTable(out)
	table.Header("role", "% of a core", "received B/s", "sent B/s", "messages/s", "disk B/s", "resident MiB")
	for _, row := range r.roles() {
		rates := row.rates
		err := table.Append(row.name, fmt.Sprintf("%.2f", 100*rates.Core), fmt.Sprintf("%.0f", rates.ReceivedBytes),
			fmt.Sprintf("%.0f", rates.SentBytes), fmt.Sprintf("%.1f", rates.Messages),
			fmt.Sprintf("%.0f", rates.DiskBytes), fmt.Sprintf("%.2f", rates.ResidentBytes/mebibyte))
		if err != nil {
			return merry.Wrap(err)
		}
	}
	return merry.Wrap(table.Render())
}

type roleRow struct {
	name  string
	rates Rates
}

func (r *Report) roles() []roleRow {
	return []roleRow{
		{"gateway, hollow (a node's share)", r.HollowGateway},
		{"gateway, real, without callers", r.RealGateway},
		{"controller that leads its zone", r.ZoneLeader},
		{"controller that follows", r.ZoneFollower},
		{"controller that leads the config group", r.ConfigLeader},
		{"busiest control machine", r.ControlMachine},
		{"engine, hollow (its share)", r.HollowEngine},
	}
}

func (r *Report) writeTraffic(out io.Writer) error {
	table := newTable(out)
	table.Header("calls of a node", "calls/s", "request B", "reply B", "bodies B/s", "failed")
	for _, row := range r.Traffic {
		err := table.Append(row.Path, fmt.Sprintf("%.3f", row.Calls), fmt.Sprintf("%.0f", row.RequestBytes),
			fmt.Sprintf("%.0f", row.ReplyBytes), fmt.Sprintf("%.0f", row.Calls*(row.RequestBytes+row.ReplyBytes)), row.Failed)
		if err != nil {
			return merry.Wrap(err)
		}
	}
	return merry.Wrap(table.Render())
}

func (r *Report) writeLosses(out io.Writer) error {
	if len(r.Losses) == 0 {
		return nil
	}
	table := newTable(out)
	table.Header("loss", "measure", "seconds", "note")
	for _, loss := range r.Losses {
		seconds := "not reached"
		if loss.Known {
			seconds = fmt.Sprintf("%.2f", loss.Time.Seconds())
		}
		if err := table.Append(loss.Event, loss.Measure, seconds, loss.Note); err != nil {
			return merry.Wrap(err)
		}
	}
	return merry.Wrap(table.Render())
}

func (r *Report) writeBudgets(out io.Writer) error {
	table := newTable(out)
	table.Header("budget", "unit", "at most", "measured", "")
	for _, row := range r.Judgements {
		verdict, measured := "missed", "not measured"
		if row.Met {
			verdict = "met"
		}
		if row.Known {
			measured = fmt.Sprintf("%.2f", row.Measured)
		}
		if err := table.Append(row.Name, row.Unit, fmt.Sprintf("%.1f", row.Budget), measured, verdict); err != nil {
			return merry.Wrap(err)
		}
	}
	return merry.Wrap(table.Render())
}

// newTable returns a table that keeps the case of its header.
func newTable(out io.Writer) *tablewriter.Table {
	return tablewriter.NewTable(out, tablewriter.WithHeaderAutoFormat(tw.Off))
}
