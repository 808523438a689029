package storage

import (
	"errors"
	"fmt"
	"path"
)

// Every segment's header holds the identity of the segment's file, so that a
// folder that was restored from a backup or copied to another machine does not
// open: its replica may have voted and acknowledged entries since the copy was
// made, and must not contradict that.

// replaceSegment replaces a segment with a synced copy of its valid frames,
// whose header holds the new file's identity.
func replaceSegment(fileSystem FileSystem, directory string, replaced *segment, content []byte) error {
	err := replaceFileWith(fileSystem, directory, path.Base(replaced.path), func(identity FileIdentity) ([]byte, error) {
		replaced.file = identity
		return withFileIdentity(content[:replaced.bytes], replaced.sequence, identity)
	})
	if err != nil {
		return err
	}
	replaced.tornBytes = 0
	return nil
}

// withFileIdentity returns a segment's content with another identity in its
// header. The header's length must not change, as the checksums of the other
// frames cover their offsets.
func withFileIdentity(content []byte, sequence uint64, identity FileIdentity) ([]byte, error) {
	payload, err := decodeFrame(content, sequence, 0)
	if err != nil {
		return nil, err
	}
	var header segmentHeader
	if _, err := header.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	header.File = identity
	changed, err := header.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	if len(changed) != len(payload) {
		return nil, fmt.Errorf("storage: header of %d bytes would become %d bytes long", len(payload), len(changed))
	}
	rest := content[frameHeaderBytes+len(payload):]
	return append(newFrame(sequence, 0, changed), rest...), nil
}

// checkFileIdentities returns an error that matches ErrCopied if a segment's file
// is not the one that its header was written to. Unknown identities are accepted.
func (f *folderContent) checkFileIdentities(fileSystem FileSystem) error {
	for _, loaded := range f.segments {
		if loaded.frames == 0 {
			continue
		}
		identity, err := fileSystem.Identify(loaded.path)
		if err != nil {
			return &IOError{Operation: "identify", Path: loaded.path, Err: err}
		}
		if identity != loaded.file && identity != (FileIdentity{}) && loaded.file != (FileIdentity{}) {
			return &CorruptionError{Path: loaded.path, Reason: ErrCopied.Error(), IsCopy: true}
		}
	}
	return nil
}

// AcceptCopy makes a copied folder usable. It is for an operator who has moved
// the folder and knows that the replica has not run since the copy was made, and
// that no other copy will ever be used: a copy that lacks the replica's latest
// vote or acknowledgement can violate the group's consistency. AcceptCopy returns
// a *CorruptionError for a folder with other damage. It may be called again after
// an error or a crash.
func AcceptCopy(fileSystem FileSystem, directory string) error {
	lock, err := fileSystem.Lock(directory)
	if err != nil {
		return &IOError{Operation: "lock", Path: directory, Err: err}
	}
	defer func() { _ = lock.Close() }()
	content, err := readFolder(fileSystem, directory)
	if err == nil || !errors.Is(err, ErrCopied) {
		return err
	}
	for position := range content.segments {
		copied := &content.segments[position]
		if copied.frames == 0 {
			continue
		}
		data, err := fileSystem.ReadFile(copied.path)
		if err != nil {
			return &IOError{Operation: "read", Path: copied.path, Err: err}
		}
		if err := replaceSegment(fileSystem, directory, copied, data); err != nil {
			return err
		}
	}
	return nil
}
