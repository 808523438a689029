package storage

import (
	"errors"
	"fmt"
	"path"
	"sort"
	"strconv"
	"strings"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

const (
	segmentPrefix = "segment-"
	segmentSuffix = ".log"
)

// segment describes a segment file.
type segment struct {
	sequence uint64
	path     string
	// bytes is the total length of the valid frames.
	bytes  int64
	frames int
	// tornBytes is the length of a torn write after the valid frames.
	tornBytes int64
	// file is the file identity recorded in the header.
	file FileIdentity
	// lastIndex is the highest index of any entry in the segment, or zero.
	lastIndex uint64
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

// parseNumberedName returns the hexadecimal number between a file name's prefix and
// suffix.
func parseNumberedName(name, prefix, suffix string) (uint64, bool) {
	middle, found := strings.CutPrefix(name, prefix)
	if !found {
		return 0, false
	}
	middle, found = strings.CutSuffix(middle, suffix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(middle, 16, 64)
	return number, err == nil
}

// fileNumbers returns the numbers of the files with a prefix and suffix, in
// ascending order.
func fileNumbers(names []string, prefix, suffix string) []uint64 {
	var numbers []uint64
	for _, name := range names {
		if number, found := parseNumberedName(name, prefix, suffix); found {
			numbers = append(numbers, number)
		}
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers
}

// createSegment durably creates a segment without batches and opens it for
// appending.
func createSegment(fileSystem FileSystem, directory string, sequence uint64, header segmentHeader) (File, segment, error) {
	created := segment{sequence: sequence, path: path.Join(directory, segmentName(sequence)), frames: 1}
	err := writeSynced(fileSystem, created.path, func(identity FileIdentity) ([]byte, error) {
		created.file, header.File = identity, identity
		payload, err := header.MarshalMsg(nil)
		frame := newFrame(sequence, 0, payload)
		created.bytes = int64(len(frame))
		return frame, err
	})
	if err != nil {
		return nil, created, err
	}
	if err := syncDirectory(fileSystem, directory); err != nil {
		return nil, created, err
	}
	file, err := fileSystem.OpenAppend(created.path)
	if err != nil {
		return nil, created, &IOError{Operation: "open", Path: created.path, Err: err}
	}
	return file, created, nil
}

// readSegment reads the frames of a segment and applies them to the replay. Only
// the last segment may end in a torn write.
func readSegment(fileSystem FileSystem, directory string, sequence uint64, isLast bool, into *replay) (segment, error) {
	result := segment{sequence: sequence, path: path.Join(directory, segmentName(sequence))}
	content, err := fileSystem.ReadFile(result.path)
	if err != nil {
		return result, &IOError{Operation: "read", Path: result.path, Err: err}
	}
	into.file = FileIdentity{}
	for result.bytes < int64(len(content)) {
		payload, err := decodeFrame(content, sequence, result.bytes)
		if err != nil {
			return result, result.classifyBadFrame(content, isLast, err)
		}
		lastIndex, err := into.applyFrame(payload, result.frames == 0)
		if err != nil {
			return result, &CorruptionError{Path: result.path, Offset: result.bytes, Reason: err.Error()}
		}
		result.lastIndex = max(result.lastIndex, lastIndex)
		result.bytes += int64(frameHeaderBytes + len(payload))
		result.frames++
		result.file = into.file
	}
	if result.frames == 0 && !isLast {
		return result, &CorruptionError{Path: result.path, Reason: "segment is empty"}
	}
	return result, nil
}

// classifyBadFrame returns a *CorruptionError unless the invalid frame is a torn
// write. At most one frame is unsynced at any time, so no valid frame follows a
// torn write.
func (s *segment) classifyBadFrame(content []byte, isLast bool, cause error) error {
	if !isLast || hasFrameAfter(content, s.sequence, s.bytes) {
		return &CorruptionError{Path: s.path, Offset: s.bytes, Reason: cause.Error()}
	}
	s.tornBytes = int64(len(content)) - s.bytes
	return nil
}

// replay rebuilds the saved state from the log's frames.
type replay struct {
	identity  Identity
	hardState consensus.HardState
	entries   []consensus.Entry
	// resetIndex and resetTerm are those of the snapshot that last replaced the
	// log, or zero.
	resetIndex uint64
	resetTerm  uint64
	// file is the file identity recorded in the latest header.
	file FileIdentity
}

func (r *replay) applyFrame(payload []byte, isHeader bool) (lastIndex uint64, err error) {
	if isHeader {
		return 0, r.applyHeader(payload)
	}
	var saved batch
	if _, err := saved.UnmarshalMsg(payload); err != nil {
		return 0, err
	}
	return r.applyBatch(saved)
}

func (r *replay) applyHeader(payload []byte) error {
	var header segmentHeader
	if _, err := header.UnmarshalMsg(payload); err != nil {
		return err
	}
	if header.Format != formatVersion {
		return fmt.Errorf("format %d is not known", header.Format)
	}
	if header.ReplicaID != r.identity.ReplicaID || header.Group != r.identity.Group {
		return fmt.Errorf("segment belongs to replica %d of group %d", header.ReplicaID, header.Group)
	}
	r.hardState = header.HardState
	r.file = header.File
	return nil
}

func (r *replay) applyBatch(saved batch) (lastIndex uint64, err error) {
	r.hardState = saved.HardState
	if saved.ResetIndex != 0 {
		r.entries = nil
		r.resetIndex, r.resetTerm = saved.ResetIndex, saved.ResetTerm
	}
	if len(saved.Entries) == 0 {
		return 0, nil
	}
	if err := r.appendEntries(saved.Entries); err != nil {
		return 0, err
	}
	return r.entries[len(r.entries)-1].Index, nil
}

func (r *replay) appendEntries(entries []consensus.Entry) error {
	first := entries[0].Index
	if first == 0 {
		return errors.New("entry at position 0")
	}
	for offset, entry := range entries {
		if entry.Index != first+uint64(offset) {
			return fmt.Errorf("entry %d stands where %d belongs", entry.Index, first+uint64(offset))
		}
	}
	if len(r.entries) > 0 {
		start := r.entries[0].Index
		if first > start+uint64(len(r.entries)) {
			return fmt.Errorf("entry %d follows entry %d", first, start+uint64(len(r.entries))-1)
		}
		r.entries = r.entries[:max(first, start)-start]
	}
	r.entries = append(r.entries, entries...)
	return nil
}
