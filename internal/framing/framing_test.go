package framing_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/failure"
	"github.com/pierhaven/pierhaven/internal/framing"
)

func TestOnlyOneFramingIsAccepted(t *testing.T) {
	for raw, valid := range map[string]bool{
		"":                                 true,
		"Host: h\r\nX: a:b\r\n\r\n":        true,
		"Host: h\r\nContent-Length: 5\r\n": true,
		"Transfer-Encoding: Chunked\r\n":   true,
		"content-length: 5\r\ncontent-LENGTH: 5\r\n":          false,
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n": false,
		"Transfer-Encoding: gzip, chunked\r\n":                false,
		"Transfer-Encoding:\r\n":                              false,
		"Host: a\r\nHost: b\r\n":                              false,
		"X: a\r\n Content-Length: 3\r\n":                      false,
	} {
		err := framing.Check([]byte(raw))
		assert.Equal(t, valid, err == nil, "%q", raw)
		if !valid {
			assert.Equal(t, failure.MalformedRequest, failure.KindOf(err))
		}
	}
}
