package storage

// Batch exports batch, the content of a segment's frame.
type Batch = batch

// NewFrame exports newFrame for tests that write their own payloads to valid files.
var NewFrame = newFrame
