package storage

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A frame is: magic (4 bytes), payload length (4), checksum (8), payload.
// Integers are little-endian. The checksum is the xxhash64 of the segment's
// sequence number, the frame's offset, the length and the payload, so that a
// frame is valid only at its original location. A file that consists of one frame
// has sequence number 0.
const (
	frameHeaderBytes = 16
	frameMagic       = "PHF1"
)

var (
	errFrameCutShort = errors.New("frame is cut short")
	errFrameDamaged  = errors.New("frame is damaged")
)

// newFrame returns the frame of a payload for an offset in a segment.
func newFrame(sequence uint64, offset int64, payload []byte) []byte {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	frame = append(frame, payload...)
	fillFrameHeader(frame, sequence, offset)
	return frame
}

// fillFrameHeader fills in the first frameHeaderBytes of a frame; its payload
// follows them.
func fillFrameHeader(frame []byte, sequence uint64, offset int64) {
	payload := frame[frameHeaderBytes:]
	copy(frame, frameMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(frame[8:], frameChecksum(sequence, offset, payload))
}

func frameChecksum(sequence uint64, offset int64, payload []byte) uint64 {
	var location [20]byte
	binary.LittleEndian.PutUint64(location[0:], sequence)
	binary.LittleEndian.PutUint64(location[8:], uint64(offset))
	binary.LittleEndian.PutUint32(location[16:], uint32(len(payload)))
	digest := xxhash.New()
	_, _ = digest.Write(location[:])
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// decodeFrame returns the payload of the frame at an offset in a segment's content.
func decodeFrame(content []byte, sequence uint64, offset int64) ([]byte, error) {
	frame := content[offset:]
	if len(frame) < frameHeaderBytes {
		return nil, errFrameCutShort
	}
	if string(frame[:len(frameMagic)]) != frameMagic {
		return nil, errFrameDamaged
	}
	length := uint64(binary.LittleEndian.Uint32(frame[4:]))
	if uint64(len(frame)-frameHeaderBytes) < length {
		return nil, errFrameCutShort
	}
	payload := frame[frameHeaderBytes : frameHeaderBytes+length]
	if binary.LittleEndian.Uint64(frame[8:]) != frameChecksum(sequence, offset, payload) {
		return nil, errFrameDamaged
	}
	return payload, nil
}

// hasFrameAfter reports whether a valid frame follows the invalid one at offset.
func hasFrameAfter(content []byte, sequence uint64, offset int64) bool {
	for position := offset + 1; position < int64(len(content)); {
		next := bytes.Index(content[position:], []byte(frameMagic))
		if next < 0 {
			return false
		}
		position += int64(next)
		if _, err := decodeFrame(content, sequence, position); err == nil {
			return true
		}
		position++
	}
	return false
}

// decodeFrameFile returns the payload of a file that consists of one frame.
func decodeFrameFile(content []byte) ([]byte, error) {
	payload, err := decodeFrame(content, 0, 0)
	if err != nil {
		return nil, err
	}
	if len(payload)+frameHeaderBytes != len(content) {
		return nil, errFrameDamaged
	}
	return payload, nil
}
