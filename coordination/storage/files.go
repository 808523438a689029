package storage

import "path"

const temporarySuffix = ".tmp"

// writeFrameFile atomically replaces a file with a single frame: after a crash the
// file has either its old or its new content.
func writeFrameFile(fileSystem FileSystem, directory, name string, payload []byte) error {
	return replaceFile(fileSystem, directory, name, newFrame(0, 0, payload))
}

// replaceFile atomically replaces a file's content.
func replaceFile(fileSystem FileSystem, directory, name string, content []byte) error {
	return replaceFileWith(fileSystem, directory, name, func(FileIdentity) ([]byte, error) { return content, nil })
}

// replaceFileWith is replaceFile for content that includes the new file's identity.
func replaceFileWith(fileSystem FileSystem, directory, name string, contentFor func(FileIdentity) ([]byte, error)) error {
	temporary := path.Join(directory, name+temporarySuffix)
	if err := writeSynced(fileSystem, temporary, contentFor); err != nil {
		return err
	}
	return renameIntoPlace(fileSystem, directory, name)
}

// renameIntoPlace replaces name with its synced temporary file and syncs the
// directory.
func renameIntoPlace(fileSystem FileSystem, directory, name string) error {
	target := path.Join(directory, name)
	if err := fileSystem.Rename(target+temporarySuffix, target); err != nil {
		return &IOError{Operation: "rename", Path: target, Err: err}
	}
	return syncDirectory(fileSystem, directory)
}

// writeSynced creates a file with synced content, which may include the file's
// identity. It does not sync the directory.
func writeSynced(fileSystem FileSystem, name string, contentFor func(FileIdentity) ([]byte, error)) error {
	file, err := fileSystem.Create(name)
	if err != nil {
		return &IOError{Operation: "create", Path: name, Err: err}
	}
	identity, err := fileSystem.Identify(name)
	if err != nil {
		_ = file.Close()
		return &IOError{Operation: "identify", Path: name, Err: err}
	}
	content, err := contentFor(identity)
	if err != nil {
		_ = file.Close()
		return err
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return &IOError{Operation: "write", Path: name, Err: err}
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return &IOError{Operation: operationSync, Path: name, Err: err}
	}
	if err := file.Close(); err != nil {
		return &IOError{Operation: "close", Path: name, Err: err}
	}
	return nil
}

func syncDirectory(fileSystem FileSystem, directory string) error {
	if err := fileSystem.SyncDirectory(directory); err != nil {
		return &IOError{Operation: operationSync, Path: directory, Err: err}
	}
	return nil
}
