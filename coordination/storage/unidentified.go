package storage

// WithoutFileIdentity is a FileSystem without file identities, for machines on
// which a file's inode number and creation time change when it is restored after a
// power loss. Copied folders are then not detected, so that WithoutFileIdentity may
// only be used where no data folder is ever restored from a copy.
type WithoutFileIdentity struct{ FileSystem }

// Identify implements FileSystem. It returns zero, which is accepted for any file.
func (WithoutFileIdentity) Identify(string) (FileIdentity, error) { return FileIdentity{}, nil }
