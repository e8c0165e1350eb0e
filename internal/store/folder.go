package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// The files of one member are written by one process at a time, which has locked them. While a gatekeeper is handed over to a second
// process, that one starts beside the first and continues on a copy of the files. Later starts use the copy once the second process has
// taken over; until then, or if it ends before, they use the files of the first. What the first writes after the copy was made is not in it.
//
// A member's folder holds a folder for each generation of the files, and symbolic links: current to the generation in use, and log and
// snapshots to its parts.

const (
	lockName         = "lock"
	currentName      = "current"
	generationPrefix = "generation-"
	firstGeneration  = generationPrefix + "1"
	copyAttempts     = 5 // the files change while they are copied
)

// folder is a generation of a member's files that this process has locked.
type folder struct {
	root string
	dir  string
	lock *os.File
}

// takeOver makes the generation the one that later starts use.
func (f *folder) takeOver() error { return replaceLink(f.root, currentName, filepath.Base(f.dir)) }

// openFolder locks the current generation of a member's files, or a new copy of it if another process uses it.
func openFolder(root string) (*folder, error) {
	current, err := currentGeneration(root)
	if err != nil {
		return nil, err
	}
	f, err := lockGeneration(root, current)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return openCopy(root, current)
	}
	if err != nil {
		return nil, err
	}
	removeUnused(root, current)
	return f, nil
}

// release unlocks the files.
func (f *folder) release() error { return f.lock.Close() }

// currentGeneration returns the name of the generation in use. If there is none yet, it makes the first one, of the files that an earlier
// version kept in the folder itself, if any.
func currentGeneration(root string) (string, error) {
	name, err := os.Readlink(filepath.Join(root, currentName))
	if err == nil {
		_, err = generationNumber(name)
		return name, err
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", err
	}
	if err := os.MkdirAll(filepath.Join(root, firstGeneration), 0o777); err != nil {
		return "", err
	}
	for _, part := range []string{logName, snapshotsName} {
		if err := adoptPart(root, part); err != nil {
			return "", err
		}
	}
	return firstGeneration, replaceLink(root, currentName, firstGeneration)
}

// adoptPart moves a part of a member's files into the first generation, if it is still in the folder itself, and links to it.
func adoptPart(root, part string) error {
	path := filepath.Join(root, part)
	if info, err := os.Lstat(path); err == nil && info.IsDir() {
		if err := os.Rename(path, filepath.Join(root, firstGeneration, part)); err != nil {
			return err
		}
	}
	return replaceLink(root, part, filepath.Join(currentName, part))
}

// replaceLink makes a symbolic link, in place of another one if there is one. A crash leaves the old link or the new one.
func replaceLink(root, name, target string) error {
	temporary := filepath.Join(root, name+".new")
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.Symlink(target, temporary); err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(root, name)); err != nil {
		return err
	}
	dir, err := os.Open(root)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// generationNumber returns the number in the name of a generation.
func generationNumber(name string) (int, error) {
	number, err := strconv.Atoi(strings.TrimPrefix(name, generationPrefix))
	if err != nil || !strings.HasPrefix(name, generationPrefix) {
		return 0, fmt.Errorf("store: the link %q is to %q, which is no generation of files", currentName, name)
	}
	return number, nil
}

// lockGeneration locks a generation until release, or until this process ends. It returns EWOULDBLOCK if another process has locked it.
func lockGeneration(root, name string) (*folder, error) {
	dir := filepath.Join(root, name)
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, &fs.PathError{Op: "lock", Path: dir, Err: err}
	}
	return &folder{root, dir, lock}, nil
}

// openCopy copies a generation that another process uses, and locks the copy. It does not take over.
func openCopy(root, used string) (*folder, error) {
	next, err := nextGeneration(root, used)
	if err != nil {
		return nil, err
	}
	if err := copyFiles(filepath.Join(root, used), filepath.Join(root, next)); err != nil {
		return nil, err
	}
	return lockGeneration(root, next)
}

// nextGeneration returns the name of the first generation after one that no process uses.
func nextGeneration(root, used string) (string, error) {
	number, err := generationNumber(used)
	if err != nil {
		return "", err
	}
	for {
		number++
		next := generationPrefix + strconv.Itoa(number)
		unused, err := lockGeneration(root, next)
		switch {
		case errors.Is(err, fs.ErrNotExist):
			return next, nil
		case err == nil:
			return next, unused.release()
		case !errors.Is(err, syscall.EWOULDBLOCK):
			return "", err
		}
	}
}

// copyFiles copies a generation. The log is copied before the snapshots, which lets it overlap with them. A copy in which entries are
// missing between the two, because the other process has just compacted its log, is made again.
func copyFiles(from, to string) (err error) {
	for range copyAttempts {
		if err = os.RemoveAll(to); err != nil {
			return err
		}
		if err = copyParts(from, to); err == nil {
			return nil
		}
	}
	return fmt.Errorf("store: the files of a running process could not be copied: %w", err)
}

// copyParts copies the log and the snapshots, and checks that they are whole.
func copyParts(from, to string) error {
	for _, part := range []string{logName, snapshotsName} {
		source := filepath.Join(from, part)
		if _, err := os.Stat(source); errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err := os.CopyFS(filepath.Join(to, part), os.DirFS(source)); err != nil {
			return err
		}
	}
	_, err := Inspect(to)
	return err
}

// removeUnused removes the generations that neither this process nor another one uses. What can't be removed stays until the next start.
func removeUnused(root, current string) {
	found, err := filepath.Glob(filepath.Join(root, generationPrefix+"*"))
	if err != nil {
		return
	}
	for _, dir := range found {
		if filepath.Base(dir) == current {
			continue
		}
		if unused, err := lockGeneration(root, filepath.Base(dir)); err == nil {
			os.RemoveAll(dir)
			unused.release()
		}
	}
}
