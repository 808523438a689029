package versioned

//go:generate go tool msgp -file state.go -unexported -o state_gen.go -tests=false -io=false
//msgp:limit arrays:1048576 maps:65536

// snapshotFormat is the version of the snapshot's layout.
const snapshotFormat = 1

// storeSnapshot is the complete state of a Store, with all lists in a fixed
// order.
type storeSnapshot struct {
	Format    int            `msg:"format"`
	Base      uint64         `msg:"base"`
	Revision  uint64         `msg:"revision"`
	Bytes     int64          `msg:"bytes"`
	Documents []Document     `msg:"documents"`
	Requests  []storedResult `msg:"requests"`
}

// storedResult is the first result of a request, by its id.
type storedResult struct {
	RequestID string `msg:"request_id"`
	// CommandHash distinguishes a resent change from a different one with the
	// same id.
	CommandHash uint64 `msg:"command_hash"`
	Result      Result `msg:"result"`
}
