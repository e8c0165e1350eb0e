// Package journal implements a crash-safe store of raft's log and stable state: an append-only journal in segment files, with
// one checksummed frame per change. Its content is also held in memory, from which reads are served.
package journal

import (
	"io"
	"os"
	"path/filepath"
)

// FS is the file system that a journal uses. Tests replace it to inject a failure at every step.
type FS interface {
	// Append opens a file for appending and creates it if it does not exist.
	Append(name string) (File, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// List returns the names of the files in a folder in order. It creates the folder if it does not exist.
	List(dir string) ([]string, error)
	Remove(name string) error
	Truncate(name string, size int64) error
	// SyncDir makes the creation and removal of files in a folder durable.
	SyncDir(dir string) error
}

// File is a file opened for appending.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is the operating system's file system.
type Disk struct{}

// Append implements FS.
func (Disk) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Read implements FS.
func (Disk) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements FS.
func (Disk) List(dir string) (names []string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Remove implements FS.
func (Disk) Remove(name string) error { return os.Remove(name) }

// Truncate implements FS.
func (Disk) Truncate(name string, size int64) error {
	f, err := os.OpenFile(filepath.Clean(name), os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// SyncDir implements FS.
func (Disk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
