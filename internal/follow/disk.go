package follow

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"beammux/control/scope"
)

// The files in Options.Dir. Each is replaced atomically. Its first line holds the name and version of the format and the
// checksum of the rest, which is JSON.
const (
	settingsFile = "settings" // a savedState, synced before it replaces the previous file
	triedFile    = "tried"    // a savedState with Trying, while a candidate is being applied. Not synced: it must survive the process, not the machine
	seenFile     = "seen"     // a savedSeen, written every seenInterval and at the end, not synced
)

const (
	fileFormat = "beammux-settings 1"
	filePerm   = 0o600
	dirPerm    = 0o700
)

// seenInterval is the time between writes of the highest revision seen while nothing else changes.
const seenInterval = time.Minute

// maxTries is the number of times that a candidate is applied if the process ends each time.
const maxTries = 2

// savedState is the state of a gatekeeper's settings as saved on disk.
type savedState struct {
	Self     scope.Target   `json:"self"`
	At       time.Time      `json:"at"`       // when the records before the last change were last confirmed as current
	Revision uint64         `json:"revision"` // at which the records last changed
	Records  []scope.Record `json:"records"`
	Good     Candidate      `json:"good"` // the last candidate that was put in force
	Refused  *refusal       `json:"refused,omitempty"`
	Trying   *Candidate     `json:"trying,omitempty"` // the candidate being applied; only in triedFile
	Tries    int            `json:"tries,omitempty"`  // number of times that Trying was applied; only in triedFile
}

// savedSeen records that the records of a revision were current up to a later revision.
type savedSeen struct {
	At      time.Time `json:"at"`      // when this was last confirmed
	Records uint64    `json:"records"` // revision at which the records last changed
	Seen    uint64    `json:"seen"`    // highest revision seen
}

// disk reads and writes the files of a directory.
type disk struct {
	dir           string
	log           logrus.FieldLogger
	fault         string    // last error; cleared by the next successful write
	seenWriteTime time.Time // when seenFile was last written
}

// write replaces a file atomically.
func (d *disk) write(name string, content any, sync bool) {
	err := writeFile(d.dir, name, content, sync)
	if err == nil {
		d.fault = ""
		return
	}
	d.recordFault(&FileError{filepath.Join(d.dir, name), err})
}

// recordFault records a fault, and logs it if it differs from the previous one.
func (d *disk) recordFault(err interface {
	error
	Advice() string
}) {
	if err.Error() != d.fault {
		d.log.WithField("advice", err.Advice()).Warn(err.Error())
	}
	d.fault = err.Error()
}

// writeFile replaces a file by writing a temporary file and renaming it. With sync, the file and the rename are durable.
func writeFile(dir, name string, content any, sync bool) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, tempPattern(name))
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(append(fmt.Appendf(nil, "%s %016x\n", fileFormat, xxhash.Sum64(body)), body...))
	if err == nil && sync {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Chmod(f.Name(), filePerm)
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, name))
	}
	if err != nil || !sync {
		return err
	}
	return syncDir(dir)
}

// syncDir makes a rename in a directory durable across a crash of the machine.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// read reads a file and reports whether it exists and is intact. A damaged file is logged and treated as missing.
func (d *disk) read(name string, content any) bool {
	file := filepath.Join(d.dir, name)
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err != nil {
		d.recordFault(&FileError{file, err})
		return false
	}
	if err := parse(text, content); err != nil {
		d.recordFault(&DamagedError{file, err.Error()})
		return false
	}
	return true
}

// parse verifies the first line of a file and decodes the rest.
func parse(text []byte, content any) error {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	if !ok || string(head) != fmt.Sprintf("%s %016x", fileFormat, xxhash.Sum64(body)) {
		return errors.New("unknown format version or wrong checksum in the first line")
	}
	return json.Unmarshal(body, content)
}

// leftoverAge is the age from which a temporary file is taken for one of a killed process and removed. A younger one may belong
// to a process that is handing over to this one.
const leftoverAge = time.Minute

// removeLeftovers removes temporary files of killed processes.
func (d *disk) removeLeftovers() {
	for _, name := range [...]string{settingsFile, triedFile, seenFile} {
		files, _ := filepath.Glob(filepath.Join(d.dir, tempPattern(name)))
		for _, file := range files {
			if info, err := os.Stat(file); err == nil && time.Since(info.ModTime()) > leftoverAge {
				os.Remove(file)
			}
		}
	}
}

// tempPattern returns the name pattern of the temporary files that replace a file.
func tempPattern(name string) string { return "." + name + "-*" }

// remove removes a file if it exists.
func (d *disk) remove(name string) {
	if err := os.Remove(filepath.Join(d.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		d.recordFault(&FileError{filepath.Join(d.dir, name), err})
	}
}

// restore puts the saved settings in force. It returns the revision up to which the saved records are known to be current, 0 if
// there are none, and the highest revision seen.
func (f *Follower) restore() (held, highestSeen uint64) {
	if f.options.Dir == "" {
		return 0, 0
	}
	f.disk = &disk{dir: f.options.Dir, log: f.log}
	if err := os.MkdirAll(f.disk.dir, dirPerm); err != nil {
		f.disk.recordFault(&FileError{f.disk.dir, err})
	}
	f.disk.removeLeftovers()
	defer func() { f.settings.beforeApply, f.settings.changed = f.saveTrying, f.save }()

	var last savedSeen
	f.disk.read(seenFile, &last)
	saved, ok := f.readSavedState()
	if !ok {
		return 0, last.Seen
	}
	f.settings.restore(saved)
	if saved.Trying != nil {
		f.retryCandidate(saved)
	}
	f.settings.applyLastGood()
	held = saved.Revision
	f.leaderContactTime = saved.At
	if last.Records == saved.Revision && last.Seen >= held {
		held, f.leaderContactTime = last.Seen, last.At
	}
	if f.settings.refused == nil {
		f.settings.inForce.Revision = max(f.settings.inForce.Revision, held)
	}
	f.status.RestoredFromDir = len(f.settings.inForce.Sections) > 0
	return held, max(held, last.Seen)
}

// readSavedState reads the saved state. triedFile takes precedence if it is newer: its candidate was being applied when the
// process ended.
func (f *Follower) readSavedState() (savedState, bool) {
	var saved, tried savedState
	ok := f.readOwn(settingsFile, &saved)
	if f.readOwn(triedFile, &tried) && tried.Trying != nil && tried.Revision > saved.Revision {
		return tried, true
	}
	return saved, ok
}

// readOwn reads a saved state and reports whether it is intact and was saved by a gatekeeper with the same name, region, zone
// and service as this one.
func (f *Follower) readOwn(name string, saved *savedState) bool {
	if !f.disk.read(name, saved) {
		return false
	}
	if saved.Self == f.options.Self {
		return true
	}
	f.disk.recordFault(&DamagedError{filepath.Join(f.disk.dir, name), fmt.Sprintf("it belongs to %+v, this gatekeeper is %+v", saved.Self, f.options.Self)})
	*saved = savedState{}
	return false
}

// retryCandidate applies the candidate that was being applied when the process ended, or refuses it after maxTries.
func (f *Follower) retryCandidate(saved savedState) {
	if saved.Tries >= maxTries {
		f.settings.refuse(*saved.Trying, &CrashedError{saved.Tries})
	} else {
		saved.Tries++
		f.disk.write(triedFile, saved, true)
		f.settings.tryCandidate(*saved.Trying)
	}
	f.save()
}

// save saves the state and removes triedFile.
func (f *Follower) save() {
	f.disk.write(settingsFile, f.savedState(), true)
	f.disk.remove(triedFile)
}

// saveTrying saves the state before candidate c is applied. If the process ends meanwhile, the next start applies c first: c may
// have been in force already, and settings must not go back to an older revision.
func (f *Follower) saveTrying(c Candidate) {
	saved := f.savedState()
	saved.Trying, saved.Tries = &c, 1
	f.disk.write(triedFile, saved, false)
}

// savedState returns the state to save.
func (f *Follower) savedState() savedState {
	s := f.settings
	return savedState{Self: s.self, At: f.lastLeaderContact(), Revision: s.recordsRevision, Records: s.sortedRecords(), Good: s.lastGood, Refused: s.refused}
}

// saveSeen saves the highest revision seen.
func (f *Follower) saveSeen() {
	f.disk.write(seenFile, savedSeen{f.lastLeaderContact(), f.settings.recordsRevision, f.machine.HighestRevision()}, false)
	f.disk.seenWriteTime = time.Now()
}
