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

// The files of a directory. Each is replaced whole: a line with the form's name and version and the checksum of the rest,
// then JSON.
const (
	settingsFile = "settings" // kept: synced before it replaces the last one
	triedFile    = "tried"    // kept with Tries: while a candidate is being put in force. Not synced: it outlives the process, not the machine
	seenFile     = "seen"     // seen: now and then, not synced
)

const (
	fileForm = "beammux-settings 1"
	filePerm = 0o600
	dirPerm  = 0o700
)

// seenEvery is how often the highest revision seen is written while nothing else changes.
const seenEvery = time.Minute

// maxTries is how often a candidate is put in force that ended the process each time.
const maxTries = 2

// kept is what is kept of a gatekeeper's settings.
type kept struct {
	Self     scope.Target   `json:"self"`
	At       time.Time      `json:"at"`       // of the last word that what was held before is current
	Revision uint64         `json:"revision"` // at which the records last changed
	Records  []scope.Record `json:"records"`
	Good     Candidate      `json:"good"`
	Refused  *refusal       `json:"refused,omitempty"`
	Trying   *Candidate     `json:"trying,omitempty"` // of triedFile
	Tries    int            `json:"tries,omitempty"`  // of triedFile
}

// seen says that the records of a revision were current up to a later one, and when that was last said.
type seen struct {
	At      time.Time `json:"at"`
	Records uint64    `json:"records"`
	Seen    uint64    `json:"seen"`
}

// disk keeps files in a directory.
type disk struct {
	dir    string
	log    logrus.FieldLogger
	fault  string    // of the last file that was read or written, if it failed
	seenAt time.Time // when seenFile was written
}

// write replaces a file whole or not at all.
func (d *disk) write(name string, content any, sync bool) {
	err := writeFile(d.dir, name, content, sync)
	if err == nil {
		d.fault = ""
		return
	}
	d.failed(&FileError{filepath.Join(d.dir, name), err})
}

// failed notes a fault, and logs it where it is a new one.
func (d *disk) failed(err interface {
	error
	Advice() string
}) {
	if err.Error() != d.fault {
		d.log.WithField("advice", err.Advice()).Warn(err.Error())
	}
	d.fault = err.Error()
}

func writeFile(dir, name string, content any, sync bool) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, freshPattern(name))
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(append(fmt.Appendf(nil, "%s %016x\n", fileForm, xxhash.Sum64(body)), body...))
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

// syncDir makes a rename in a directory outlast the machine.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// read reads a file, and tells whether it is there and whole. A damaged one is logged, and as good as none.
func (d *disk) read(name string, content any) bool {
	file := filepath.Join(d.dir, name)
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err != nil {
		d.failed(&FileError{file, err})
		return false
	}
	if err := parse(text, content); err != nil {
		d.failed(&DamagedError{file, err.Error()})
		return false
	}
	return true
}

func parse(text []byte, content any) error {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	if !ok || string(head) != fmt.Sprintf("%s %016x", fileForm, xxhash.Sum64(body)) {
		return errors.New("its first line is not that of this version, or its checksum is wrong")
	}
	return json.Unmarshal(body, content)
}

// leftoverAfter is how old a file must be that a killed process was about to put in place of another, so that it is removed. A
// younger one may be of a process that hands over to this one.
const leftoverAfter = time.Minute

// removeLeftovers removes what killed processes left half-written.
func (d *disk) removeLeftovers() {
	for _, name := range [...]string{settingsFile, triedFile, seenFile} {
		files, _ := filepath.Glob(filepath.Join(d.dir, freshPattern(name)))
		for _, file := range files {
			if info, err := os.Stat(file); err == nil && time.Since(info.ModTime()) > leftoverAfter {
				os.Remove(file)
			}
		}
	}
}

// freshPattern is that of the names of files that are written to take the place of one.
func freshPattern(name string) string { return "." + name + "-*" }

func (d *disk) remove(name string) {
	if err := os.Remove(filepath.Join(d.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		d.failed(&FileError{filepath.Join(d.dir, name), err})
	}
}

// restore puts in force what the directory keeps. It gives the revision up to which the kept records are current, 0 where
// there are none, and the highest revision seen.
func (f *Follower) restore() (held, highest uint64) {
	if f.options.Dir == "" {
		return 0, 0
	}
	f.disk = &disk{dir: f.options.Dir, log: f.log}
	if err := os.MkdirAll(f.disk.dir, dirPerm); err != nil {
		f.disk.failed(&FileError{f.disk.dir, err})
	}
	f.disk.removeLeftovers()
	defer func() { f.settings.beforeApply, f.settings.changed = f.saveTrying, f.save }()

	var last seen
	f.disk.read(seenFile, &last)
	k, ok := f.readKept()
	if !ok {
		return 0, last.Seen
	}
	f.settings.restore(k)
	if k.Trying != nil {
		f.tryAgain(k)
	}
	f.settings.enforceGood()
	held = k.Revision
	f.wordAt = k.At
	if last.Records == k.Revision && last.Seen >= held {
		held, f.wordAt = last.Seen, last.At
	}
	if f.settings.refused == nil {
		f.settings.inForce.Revision = max(f.settings.inForce.Revision, held)
	}
	f.status.RestoredFromDir = len(f.settings.inForce.Sections) > 0
	return held, max(held, last.Seen)
}

// readKept reads the kept state: that of a candidate that was being put in force when the process ended, if it is newer.
func (f *Follower) readKept() (kept, bool) {
	var k, trying kept
	ok := f.readOwn(settingsFile, &k)
	if f.readOwn(triedFile, &trying) && trying.Trying != nil && trying.Revision > k.Revision {
		return trying, true
	}
	return k, ok
}

// readOwn reads a state that was kept for this gatekeeper, under the names that it has now.
func (f *Follower) readOwn(name string, k *kept) bool {
	if !f.disk.read(name, k) {
		return false
	}
	if k.Self == f.options.Self {
		return true
	}
	f.disk.failed(&DamagedError{filepath.Join(f.disk.dir, name), fmt.Sprintf("it is of %+v, this gatekeeper is %+v", k.Self, f.options.Self)})
	*k = kept{}
	return false
}

// tryAgain puts a candidate in force that was being put in force when the process ended.
func (f *Follower) tryAgain(k kept) {
	if k.Tries >= maxTries {
		f.settings.refuse(*k.Trying, &CrashedError{k.Tries})
	} else {
		k.Tries++
		f.disk.write(triedFile, k, true)
		f.settings.try(*k.Trying)
	}
	f.save()
}

// save keeps the state.
func (f *Follower) save() {
	f.disk.write(settingsFile, f.kept(), true)
	f.disk.remove(triedFile)
}

// saveTrying keeps the state before a candidate is tried: if the process ends meanwhile, it is tried first at the next start,
// so that the process doesn't go back behind what may have been in force.
func (f *Follower) saveTrying(c Candidate) {
	k := f.kept()
	k.Trying, k.Tries = &c, 1
	f.disk.write(triedFile, k, false)
}

func (f *Follower) kept() kept {
	s := f.settings
	return kept{Self: s.self, At: f.word(), Revision: s.recordsAt, Records: s.sorted(), Good: s.good, Refused: s.refused}
}

// saveSeen keeps the highest revision seen.
func (f *Follower) saveSeen() {
	f.disk.write(seenFile, seen{f.word(), f.settings.recordsAt, f.machine.HighestRevision()}, false)
	f.disk.seenAt = time.Now()
}
