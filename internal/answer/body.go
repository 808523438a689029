package answer

import (
	"bufio"
	"errors"
	"io"

	"github.com/pierhaven/pierhaven/internal/chunked"
	"github.com/pierhaven/pierhaven/internal/headlimit"
)

// maximumTrailerBytes bounds the trailers of a body, which nobody reads.
const maximumTrailerBytes = 4 << 10

// Body reads the body of an answer. Its Read returns io.EOF only at the end of a whole body.
type Body struct {
	reader *bufio.Reader
	// left are the bytes of an announced body that have not been read.
	left        int64
	isAnnounced bool
	// chunks follow a body in chunks, nil for others.
	chunks *chunked.Decoder
	// checkEnd returns an error if the connection has not ended in order.
	checkEnd func() error
}

// Body returns the body of an answer to a request of a method. If only the end of the connection ends the body, checkEnd is called there: its error
// takes the place of io.EOF.
func (h *Head) Body(method string, reader *bufio.Reader, checkEnd func() error) *Body {
	body := &Body{reader: reader, checkEnd: checkEnd}
	body.left, body.isAnnounced = h.Length(method)
	if !body.isAnnounced && h.isChunked {
		body.chunks = &chunked.Decoder{CheckTrailer: checkTrailer}
	}
	return body
}

// Read implements io.Reader.
func (b *Body) Read(buffer []byte) (int, error) {
	switch {
	case b.isAnnounced:
		return b.readAnnounced(buffer)
	case b.chunks != nil:
		return b.readChunks(buffer)
	}
	count, err := b.reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		if broken := b.checkEnd(); broken != nil {
			return count, broken
		}
	}
	return count, err
}

func (b *Body) readAnnounced(buffer []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	count, err := b.reader.Read(buffer[:min(int64(len(buffer)), b.left)])
	b.left -= int64(count)
	if err == nil && b.left == 0 {
		err = io.EOF
	} else if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

func (b *Body) readChunks(buffer []byte) (int, error) {
	if err := b.readChunkFraming(); err != nil {
		return 0, err
	}
	if b.chunks.Ended() {
		return 0, io.EOF
	}
	count, err := b.reader.Read(buffer[:min(int64(len(buffer)), b.chunks.Left())])
	b.chunks.Took(int64(count))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// readChunkFraming reads what comes before the next data, or the end.
func (b *Body) readChunkFraming() error {
	for b.chunks.Left() == 0 && !b.chunks.Ended() {
		next, err := b.reader.ReadByte()
		switch {
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		switch err := b.chunks.Next(next); {
		case errors.Is(err, chunked.ErrMalformed):
			return &Error{FaultChunk}
		case errors.Is(err, chunked.ErrFraming), b.chunks.TrailerBytes() > maximumTrailerBytes:
			return headlimit.ErrBytes
		case err != nil:
			return err
		}
	}
	return nil
}
