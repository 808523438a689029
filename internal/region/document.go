package region

import (
	"bytes"
	"compress/flate"
	"io"
)

// Deflate makes a document small for the log and the network.
func Deflate(document []byte) []byte {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	_, _ = writer.Write(document)
	_ = writer.Close()
	return buffer.Bytes()
}

// maximumDocument bounds a document that is inflated, in bytes.
const maximumDocument = 64 << 20

// Inflate undoes Deflate.
func Inflate(compressed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maximumDocument))
}
