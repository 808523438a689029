package headlimit_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/pierhaven/pierhaven/internal/headlimit"
)

// FuzzAHeadEndsNoLaterThanItsParserSays holds the scanner and the parser together: bytes of a head that the scanner does not
// count are not bounded.
func FuzzAHeadEndsNoLaterThanItsParserSays(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody"), 3)
	f.Add([]byte("HTTP/1.1 200 OK\nA: b\n c\n\nbody\n\n"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\r\n\r\n"), 7)
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		var scanner headlimit.Scanner
		for piece := range chunks(sent, size) {
			if scanner.Add(piece) != nil {
				return
			}
		}
		body := bytes.NewReader(sent)
		response, err := http.ReadResponse(bufio.NewReaderSize(body, 16), nil)
		if err == nil {
			_ = response.Body.Close()
			return
		}
		if scanner.Ended() {
			// The parser has refused the head, and not asked for more of it.
			_, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(sent[:scanner.Bytes()])), nil)
			assert.NotContains(t, err.Error(), "unexpected EOF")
		}
	})
}

func chunks(data []byte, size int) func(func([]byte) bool) {
	size = max(size, 1)
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			count := min(size, len(data))
			if !yield(data[:count]) {
				return
			}
			data = data[count:]
		}
	}
}

func TestTheHeadsOfAnExchangeAreCountedTogether(t *testing.T) {
	var scanner headlimit.Scanner
	head := []byte("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")
	for count := 1; count*3 <= headlimit.MaximumLines; count++ {
		assert.NoError(t, scanner.Add(append(bytes.Clone(head), "not counted"...)))
		assert.True(t, scanner.Ended())
		assert.Equal(t, count*len(head), scanner.Bytes())
		scanner.Next()
	}
	assert.ErrorIs(t, scanner.Add(head), headlimit.ErrLines)
}

func TestAHeadMayHaveAsManyBytesAsAllowed(t *testing.T) {
	var scanner headlimit.Scanner
	assert.NoError(t, scanner.Add(make([]byte, headlimit.MaximumBytes)))
	assert.ErrorIs(t, scanner.Add([]byte{0}), headlimit.ErrBytes)
}
