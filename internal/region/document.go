package region

import (
	"bytes"
	"compress/flate"
	"io"
)

// Deflate compresses a document for the log and the network.
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

// maximumDocumentBytes bounds the size of a decompressed document.
const maximumDocumentBytes = 64 << 20

// Inflate decompresses what Deflate returned, and truncates it at maximumDocumentBytes.
func Inflate(compressed []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maximumDocumentBytes))
}
