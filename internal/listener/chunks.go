package listener

import (
	"github.com/pierhaven/pierhaven/internal/failure"
)

// chunkState is where in a chunked body its next byte belongs (RFC 9112, section 7.1).
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeEnd
	chunkData
	chunkDataEnd
	chunkDataEndLine
	chunkTrailer
	chunksEnded
)

const (
	// maximumFramingBytes of chunk sizes and extensions may come beyond framingPerChunk for each chunk and framingPerByte for each byte of data.
	maximumFramingBytes = 16 << 10
	framingPerChunk     = 16
	framingPerByte      = 2
	// maximumChunkDigits is the number of hexadecimal digits of the largest chunk.
	maximumChunkDigits = 15
)

// chunkDecoder follows a chunked body. It keeps nothing of it but numbers.
type chunkDecoder struct {
	state chunkState
	// left are the bytes that the chunk still has.
	left   int64
	digits int
	// framing are the bytes of sizes and extensions beyond what their data excuses.
	framing int64
	// trailers are the bytes of trailers, and line those of the trailer under way.
	trailers, line int
}

var errMalformedChunk = failure.New(failure.MalformedRequest, "the body is not chunked as it says")

// step takes in bytes, and returns how many belong to the body's framing and how many that follow are data.
func (d *chunkDecoder) step(input []byte) (framing, data int, err error) {
	for framing < len(input) && d.state != chunksEnded {
		if d.state == chunkData {
			return framing, int(min(d.left, int64(len(input)-framing))), nil
		}
		if err := d.next(input[framing]); err != nil {
			return framing, 0, err
		}
		framing++
	}
	return framing, 0, nil
}

// took notes data that was taken out of the chunk.
func (d *chunkDecoder) took(count int64) {
	d.left -= count
	d.framing = max(0, d.framing-framingPerByte*count)
	if d.left == 0 {
		d.state = chunkDataEnd
	}
}

// next takes in a byte that is no data.
func (d *chunkDecoder) next(b byte) error {
	switch d.state {
	case chunkSize:
		return d.addDigit(b)
	case chunkExtension:
		if b == '\n' {
			return d.beginData()
		}
		return d.countFraming()
	case chunkSizeEnd:
		if b != '\n' {
			return errMalformedChunk
		}
		return d.beginData()
	case chunkDataEnd:
		if b != '\r' {
			return errMalformedChunk
		}
		d.state = chunkDataEndLine
	case chunkDataEndLine:
		if b != '\n' {
			return errMalformedChunk
		}
		d.state, d.digits, d.left = chunkSize, 0, 0
	case chunkTrailer:
		d.addTrailer(b)
	}
	return nil
}

func (d *chunkDecoder) addDigit(b byte) error {
	if digit, isDigit := hexadecimal(b); isDigit && d.digits < maximumChunkDigits {
		d.left = d.left<<4 | digit
		d.digits++
		return d.countFraming()
	}
	switch {
	case d.digits == 0:
		return errMalformedChunk
	case b == '\r':
		d.state = chunkSizeEnd
	case b == ';' || b == ' ' || b == '\t':
		d.state = chunkExtension
	default:
		return errMalformedChunk
	}
	return d.countFraming()
}

func (d *chunkDecoder) countFraming() error {
	d.framing++
	if d.framing > maximumFramingBytes {
		return failure.New(failure.MalformedRequest, "the sizes and extensions of the chunks have too many bytes")
	}
	return nil
}

func (d *chunkDecoder) beginData() error {
	d.framing = max(0, d.framing-framingPerChunk)
	d.state = chunkData
	if d.left == 0 {
		d.state = chunkTrailer
	}
	return nil
}

// addTrailer drops a byte of the trailers, which end with an empty line.
func (d *chunkDecoder) addTrailer(b byte) {
	d.trailers++
	switch {
	case b == '\n' && d.line == 0:
		d.state = chunksEnded
	case b == '\n':
		d.line = 0
	case b != '\r':
		d.line++
	}
}

func hexadecimal(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
