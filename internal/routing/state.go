package routing

import (
	"time"

	"github.com/pierhaven/pierhaven/internal/api/engineapi"
)

// engineState is the data layer's record of one engine.
type engineState struct {
	engine Engine
	// attempts are this gateway's own, by attempt id. Ended ones are kept until
	// a report measured after their end has arrived.
	attempts map[string]*attempt
	ownLoad  load

	hasReport bool
	report    engineapi.LoadReport
	// reportedAt is the time at which the report was measured.
	reportedAt time.Duration
	// otherLoad is the reported load without this gateway's own part.
	otherLoad load

	// waitingReports counts the consecutive reports with waiting requests since
	// the number of running requests last grew; waitingRunning is that number
	// in the latest of these reports.
	waitingReports int
	waitingRunning int

	// lastPrefillAt is when this gateway last sent the engine a prompt to
	// prefill, negative if never.
	lastPrefillAt time.Duration

	health health
}

func newEngineState(engine Engine) *engineState {
	return &engineState{engine: engine, attempts: make(map[string]*attempt), lastPrefillAt: unsetTime}
}

// ownLoadAt returns the load of this gateway's own attempts at a given time.
func (s *engineState) ownLoadAt(at time.Duration) load {
	var sum load
	for _, started := range s.attempts {
		sum = sum.plus(started.loadAt(at))
	}
	return sum
}

// applyReport stores a report. It returns false and drops the report if a newer
// one, or the same one, of the same incarnation is known.
func (s *engineState) applyReport(now time.Duration, report engineapi.LoadReport) bool {
	sameRun := s.hasReport && s.report.Incarnation == report.Incarnation
	if sameRun && report.Sequence <= s.report.Sequence {
		return false
	}
	s.hasReport = true
	s.report = report
	s.reportedAt = now - time.Duration(report.AgeMillis)*time.Millisecond
	s.otherLoad = reportedLoad(report).minusClamped(s.ownLoadAt(s.reportedAt))
	s.removeEnded()
	return true
}

// removeEnded removes attempts that ended before the latest report was
// measured.
func (s *engineState) removeEnded() {
	for id, started := range s.attempts {
		if started.endedAt >= 0 && started.endedAt <= s.reportedAt {
			delete(s.attempts, id)
		}
	}
}

// estimate returns the current load: this gateway's own attempts exactly, and
// the reported load of others, which moves towards the mean of all engines as
// the report ages.
func (s *engineState) estimate(now, halfLife time.Duration, mean load) load {
	weight := 0.0
	if s.hasReport {
		weight = reportWeight(now-s.reportedAt, halfLife)
	}
	return s.ownLoad.plus(s.otherLoad.times(weight)).plus(mean.times(1 - weight))
}
