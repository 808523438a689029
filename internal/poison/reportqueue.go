package poison

import "slices"

const (
	// maximumUnreported bounds the digests that wait to be reported to a coordinator: 64 KB.
	maximumUnreported = 4096
	// maximumReportDigests bounds the digests of one report: 4 KB. A crash is not split, so a report
	// with only one may have more.
	maximumReportDigests = 256
)

// reportQueue holds the evidence that waits to be reported to a coordinator, maximumUnreported digests at
// most. It is not safe for concurrent use.
type reportQueue struct {
	crashes     []Crash
	completions []Digest
	// onDropped is called with the number of digests that were dropped because there were too many.
	onDropped func(digests int)
}

func (q *reportQueue) addCrash(crash Crash) {
	q.crashes = append(q.crashes, crash)
	q.dropExcess()
}

func (q *reportQueue) addCompletions(completions ...Digest) {
	q.completions = append(q.completions, completions...)
	q.dropExcess()
}

// dropExcess drops the oldest evidence, crashes before completions, while there is too much.
func (q *reportQueue) dropExcess() {
	dropped := 0
	for countDigests(q.crashes)+len(q.completions) > maximumUnreported {
		if len(q.crashes) == 0 {
			q.completions = q.completions[1:]
			dropped++
			continue
		}
		dropped += len(q.crashes[0].Requests)
		q.crashes = q.crashes[1:]
	}
	if dropped > 0 && q.onDropped != nil {
		q.onDropped(dropped)
	}
}

func countDigests(crashes []Crash) int {
	sum := 0
	for _, crash := range crashes {
		sum += len(crash.Requests)
	}
	return sum
}

func (q *reportQueue) isEmpty() bool { return len(q.crashes) == 0 && len(q.completions) == 0 }

// take removes and returns what is to be reported next, nil if there is nothing.
func (q *reportQueue) take(gateway string) *Report {
	if q.isEmpty() {
		return nil
	}
	report := &Report{Gateway: gateway}
	remaining := maximumReportDigests
	for _, crash := range q.crashes {
		if len(report.Crashes) > 0 && len(crash.Requests) > remaining {
			break
		}
		remaining -= len(crash.Requests)
		report.Crashes = append(report.Crashes, crash)
	}
	q.crashes = q.crashes[len(report.Crashes):]
	if len(q.crashes) == 0 {
		// A completion must not overtake an earlier crash.
		count := min(len(q.completions), max(remaining, 1))
		report.Completions = q.completions[:count:count]
		q.completions = q.completions[count:]
	}
	return report
}

// putBack puts a report back in front.
func (q *reportQueue) putBack(report *Report) {
	q.crashes = append(slices.Clip(report.Crashes), q.crashes...)
	q.completions = append(slices.Clip(report.Completions), q.completions...)
	q.dropExcess()
}
