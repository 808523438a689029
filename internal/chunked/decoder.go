// Package chunked follows bodies in chunks (RFC 9112, section 7.1), those of requests and of answers.
package chunked

import (
	"bytes"
	"errors"
)

// Errors of a body that is not chunked as it says, or whose framing costs more than its data excuses.
var (
	ErrMalformed = errors.New("the body is not chunked as it says")
	ErrFraming   = errors.New("the sizes and extensions of the chunks have too many bytes")
)

// state is where in a chunked body its next byte belongs.
type state int

const (
	stateSize state = iota
	// stateSizeBlank follows a size and blanks, an extension or the line's end comes next.
	stateSizeBlank
	stateExtension
	stateSizeEnd
	stateData
	stateDataEnd
	stateDataEndLine
	stateTrailer
	stateEnded
)

const (
	// maximumFramingBytes of chunk sizes and extensions may come beyond framingPerChunk for each chunk and framingPerByte for each byte of data.
	maximumFramingBytes = 16 << 10
	framingPerChunk     = 16
	framingPerByte      = 2
	// maximumDigits is the number of hexadecimal digits of the largest chunk.
	maximumDigits = 15
)

// Decoder follows a chunked body. It keeps nothing of it but numbers, and the trailer under way if CheckTrailer is set.
type Decoder struct {
	// CheckTrailer is called with each trailer, without its line end; nil takes any.
	CheckTrailer func(line []byte) error

	state state
	// left are the bytes that the chunk still has.
	left   int64
	digits int
	// framing are the bytes of sizes and extensions beyond what their data excuses.
	framing int64
	// trailers are the bytes of trailers, and width those of the trailer under way, whose last one is last.
	trailers, width int
	last            byte
	// line is the trailer under way, if it is to be checked.
	line []byte
}

// Ended reports whether the body was whole.
func (d *Decoder) Ended() bool { return d.state == stateEnded }

// Left is the number of bytes of data that come next, 0 if framing does.
func (d *Decoder) Left() int64 {
	if d.state != stateData {
		return 0
	}
	return d.left
}

// TrailerBytes is the number of bytes of trailers so far.
func (d *Decoder) TrailerBytes() int { return d.trailers }

// Step takes in bytes, and returns how many belong to the body's framing and how many that follow are data.
func (d *Decoder) Step(input []byte) (framing, data int, err error) {
	for framing < len(input) && d.state != stateEnded {
		if d.state == stateData {
			return framing, int(min(d.left, int64(len(input)-framing))), nil
		}
		if err := d.Next(input[framing]); err != nil {
			return framing, 0, err
		}
		framing++
	}
	return framing, 0, nil
}

// Took notes data that was taken out of the chunk.
func (d *Decoder) Took(count int64) {
	if count == 0 {
		return
	}
	d.left -= count
	d.framing = max(0, d.framing-framingPerByte*count)
	if d.left == 0 {
		d.state = stateDataEnd
	}
}

// Next takes in a byte that is no data.
func (d *Decoder) Next(b byte) error {
	switch d.state {
	case stateSize:
		return d.addDigit(b)
	case stateSizeBlank, stateExtension:
		return d.addExtension(b)
	case stateSizeEnd:
		if b != '\n' {
			return ErrMalformed
		}
		d.beginData()
	case stateDataEnd:
		if b != '\r' {
			return ErrMalformed
		}
		d.state = stateDataEndLine
	case stateDataEndLine:
		if b != '\n' {
			return ErrMalformed
		}
		d.state, d.digits, d.left = stateSize, 0, 0
	case stateTrailer:
		return d.addTrailer(b)
	}
	return nil
}

func (d *Decoder) addDigit(b byte) error {
	if digit, isDigit := hexadecimal(b); isDigit && d.digits < maximumDigits {
		d.left = d.left<<4 | digit
		d.digits++
		return d.countFraming()
	}
	if d.digits == 0 {
		return ErrMalformed
	}
	d.state = stateSizeBlank
	return d.addExtension(b)
}

// addExtension takes in a byte behind a size: blanks, extensions, the end of the line.
func (d *Decoder) addExtension(b byte) error {
	switch {
	case b == '\r':
		d.state = stateSizeEnd
	case b == ' ' || b == '\t':
	case b < ' ' || b == 0x7f:
		return ErrMalformed
	case b == ';':
		d.state = stateExtension
	case d.state != stateExtension:
		return ErrMalformed
	}
	return d.countFraming()
}

func (d *Decoder) countFraming() error {
	d.framing++
	if d.framing > maximumFramingBytes {
		return ErrFraming
	}
	return nil
}

func (d *Decoder) beginData() {
	d.framing = max(0, d.framing-framingPerChunk)
	d.state = stateData
	if d.left == 0 {
		d.state = stateTrailer
	}
}

// addTrailer takes in a byte of the trailers, which end with an empty line.
func (d *Decoder) addTrailer(b byte) error {
	d.trailers++
	if b == '\n' {
		return d.endTrailer()
	}
	d.width++
	d.last = b
	if d.CheckTrailer != nil {
		d.line = append(d.line, b)
	}
	return nil
}

func (d *Decoder) endTrailer() error {
	width, line := d.width, d.line
	d.width, d.line = 0, d.line[:0]
	if width == 0 || width == 1 && d.last == '\r' {
		d.state = stateEnded
		return nil
	}
	if d.CheckTrailer == nil {
		return nil
	}
	return d.CheckTrailer(bytes.TrimSuffix(line, carriageReturn))
}

var carriageReturn = []byte{'\r'}

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
