package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"path"

	"github.com/pierhaven/pierhaven/coordination/consensus"
)

//go:generate go tool msgp -file identity.go -o identity_gen.go -tests=false -io=false
//msgp:replace consensus.ReplicaID with:uint64

// Stage is a replica's progress in joining its group.
type Stage uint8

// Stages of a replica, in order.
const (
	// StageNew is a replica that has neither promised to take part in a bootstrap
	// nor saved any state.
	StageNew Stage = iota + 1
	// StagePromised is a replica that has promised to take part in one bootstrap.
	StagePromised
	// StageMember is a replica that has saved a term, a vote or state of its group.
	StageMember
	// StageDamaged is a replica that was found to have lost saved data.
	StageDamaged
)

// String returns the name of the stage for use in logs.
func (stage Stage) String() string {
	switch stage {
	case StageNew:
		return "new"
	case StagePromised:
		return "promised"
	case StageMember:
		return "member"
	case StageDamaged:
		return "damaged"
	default:
		return "invalid"
	}
}

// Identity binds a replica to its data folder.
type Identity struct {
	Group     uint64              `msg:"group"`
	ReplicaID consensus.ReplicaID `msg:"replica"`
	Stage     Stage               `msg:"stage"`
	// FoundingToken identifies the bootstrap that the replica has promised to take
	// part in; zero if none.
	FoundingToken uint64 `msg:"founding_token"`
}

const identityName = "identity"

// newIdentity returns an identity with a random replica id other than zero.
func newIdentity(group uint64, random *rand.Rand) Identity {
	id := random.Uint64()
	for id == 0 {
		id = random.Uint64()
	}
	return Identity{Group: group, ReplicaID: consensus.ReplicaID(id), Stage: StageNew}
}

// WriteIdentity atomically and durably replaces the identity in a data folder.
func WriteIdentity(fileSystem FileSystem, directory string, identity Identity) error {
	payload, err := identity.MarshalMsg(nil)
	if err != nil {
		return err
	}
	return writeFrameFile(fileSystem, directory, identityName, payload)
}

// readIdentity returns nil if the folder has no identity.
func readIdentity(fileSystem FileSystem, directory string) (*Identity, error) {
	name := path.Join(directory, identityName)
	content, err := fileSystem.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &IOError{Operation: "read", Path: name, Err: err}
	}
	payload, err := decodeFrameFile(content)
	if err != nil {
		return nil, &CorruptionError{Path: name, Reason: err.Error()}
	}
	var identity Identity
	if _, err := identity.UnmarshalMsg(payload); err != nil {
		return nil, &CorruptionError{Path: name, Reason: err.Error()}
	}
	if identity.ReplicaID == 0 || identity.Stage < StageNew || identity.Stage > StageDamaged {
		return nil, &CorruptionError{Path: name, Reason: fmt.Sprintf("unusable identity %+v", identity)}
	}
	return &identity, nil
}
