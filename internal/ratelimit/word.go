package ratelimit

import "time"

//go:generate go tool msgp -file word.go -tests=false -io=false
//msgp:limit arrays:4096
//msgp:tuple Report Message

// Report is a limit report: what one response of a replica said of its rate limit.
type Report struct {
	// Replica is a region.Incarnation.Name.
	Replica string `msg:"replica"`
	// Declared is set if the response declared a limit, and Rate is that limit in requests a second.
	Declared bool    `msg:"named"`
	Rate     float64 `msg:"rate"`
	// AgeMicros is the time from the receipt of the response to the sending of this report, in
	// microseconds. It is an age rather than a time because the clocks of two machines may differ.
	AgeMicros int64 `msg:"age_us"`
}

// Age is how old the report was when it was sent; never negative.
func (r Report) Age() time.Duration { return time.Duration(max(r.AgeMicros, 0)) * time.Microsecond }

// Message carries limit reports between processes.
type Message struct {
	// From is the sender's address.
	From string `msg:"from"`
	// Hash is the sender's Table.LimitsHash, 0 from a gateway. A coordinator that receives another coordinator's
	// message with a hash other than its own replies with all that it knows.
	Hash    uint64   `msg:"hash"`
	Reports []Report `msg:"words"`
}

// MaximumReportsPerMessage bounds the reports in a message, so that it stays below datagram.MaximumBytes with
// names of usual length.
const MaximumReportsPerMessage = 100

// Batches splits reports into batches that fit into one message each.
func Batches(reports []Report) [][]Report {
	var batches [][]Report
	for len(reports) > 0 {
		count := min(len(reports), MaximumReportsPerMessage)
		batches = append(batches, reports[:count:count])
		reports = reports[count:]
	}
	return batches
}
