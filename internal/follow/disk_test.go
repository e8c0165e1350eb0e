package follow

import (
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/control/advice"
	"beammux/control/scope"
	"beammux/internal/store"
)

// copyDir returns a copy of a directory in its current state, as a process killed now would leave it.
func copyDir(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	require.NoError(t, os.CopyFS(to, os.DirFS(dir)))
	return to
}

// savedDir returns a directory saved by a follower, and the candidate that was in force: its records last changed at revision 5,
// and the highest revision seen is 8.
func savedDir(t *testing.T) (dir string, in Candidate) {
	t.Helper()
	s, a, dir := newFakeStore(t), &appliedCandidates{}, t.TempDir()
	f := startFollower(t, s, a, Options{Dir: dir})
	c := s.next()
	c.snapshot(5, limitsRecord("all", "1", 3), limitsRecord("zone/z1", "2", 5))
	c.heartbeat(8)
	c.report(store.WatchReport{InForce: 8})
	f.Close()
	require.Len(t, a.all(), 1)
	return dir, a.all()[0]
}

// Open puts the saved settings in force before it contacts any control machine. The session resumes from the highest revision
// seen.
func TestRestoresSavedState(t *testing.T) {
	dir, in := savedDir(t)
	s, a := newFakeStore(t), &appliedCandidates{}
	f := startFollower(t, s, a, Options{Dir: dir})
	require.Equal(t, []Candidate{in}, a.all())
	st := f.Status()
	require.Equal(t, uint64(8), st.InForce)
	require.Equal(t, uint64(8), st.Seen)
	require.True(t, st.RestoredFromDir)
	require.GreaterOrEqual(t, st.Age, time.Duration(0))
	c := s.next()
	require.Equal(t, uint64(8), c.request.After)
	c.heartbeat(9)
	c.report(store.WatchReport{InForce: 9})
	require.False(t, f.Status().RestoredFromDir)
	c.change(10, limitsDeletion("zone/z1", 10)) // the record of the wider scope was saved too
	c.report(store.WatchReport{InForce: 10})
	require.Equal(t, []Candidate{in, candidate(10, limitsRecord("all", "1", 3))}, a.all())
}

// A killed gatekeeper may leave no seenFile: the next start resumes from the revision of the saved records.
func TestRestoresWithoutSeenFile(t *testing.T) {
	dir, in := savedDir(t)
	require.NoError(t, removeAll(dir, seenFile))
	s, a := newFakeStore(t), &appliedCandidates{}
	f := startFollower(t, s, a, Options{Dir: dir})
	require.Equal(t, []Candidate{in}, a.all())
	require.Equal(t, uint64(5), f.Status().Seen)
	require.Equal(t, uint64(5), s.next().request.After)
}

// Saved records older than the highest revision seen are put in force, but the session does not resume from them. It requests a
// snapshot and rejects one that is older than the highest revision seen.
func TestSeenRevisionAheadOfRecords(t *testing.T) {
	for _, lost := range []bool{true, false} {
		dir, in := savedDir(t)
		old := copyDir(t, dir)
		s, a := newFakeStore(t), &appliedCandidates{}
		f := startFollower(t, s, a, Options{Dir: dir})
		c := s.next()
		c.change(12, limitsRecord("all", "3", 12), limitsDeletion("zone/z1", 12))
		c.report(store.WatchReport{InForce: 12})
		f.Close()
		if lost {
			require.NoError(t, removeAll(dir, settingsFile))
		} else { // as if settingsFile could not be written
			require.NoError(t, os.Rename(filepath.Join(old, settingsFile), filepath.Join(dir, settingsFile)))
		}

		s, a = newFakeStore(t), &appliedCandidates{}
		f = startFollower(t, s, a, Options{Dir: dir})
		require.Equal(t, uint64(12), f.Status().Seen)
		if lost {
			require.Empty(t, a.all())
		} else {
			require.Equal(t, []Candidate{in}, a.all())
		}
		c = s.next()
		require.Equal(t, uint64(0), c.request.After)
		c.snapshot(11, limitsRecord("all", "1", 3))
		next := s.next()
		require.NotEqual(t, c.address, next.address)
		before := len(a.all())
		next.snapshot(12, limitsRecord("all", "3", 12))
		next.report(store.WatchReport{InForce: 12})
		require.Equal(t, candidate(12, limitsRecord("all", "3", 12)), a.all()[before])
		f.Close()
	}
}

// After a restart, a refused candidate isn't tried again: the last good one is put in force, and the status still reports the
// refusal.
func TestRefusalSurvivesRestart(t *testing.T) {
	dir, in := savedDir(t)
	s, a := newFakeStore(t), &appliedCandidates{}
	f := startFollower(t, s, a, Options{Dir: dir})
	c := s.next()
	c.change(12, limitsRecord("zone/z1", "bad", 12))
	c.report(store.WatchReport{InForce: 8, Refused: 12, Fault: errBad.Error()})
	c.heartbeat(14)
	st := waitFor(t, f, "seen", func(s Status) bool { return s.Seen == 14 })
	require.Equal(t, uint64(8), st.InForce)
	f.Close()

	s = newFakeStore(t)
	var tried []Candidate
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
		tried = append(tried, c)
		return nil
	}}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.Equal(t, []Candidate{in}, tried)
	st = f.Status()
	require.Equal(t, in.Revision, st.InForce)
	require.Equal(t, &Refused{Revision: 12, Fault: errBad.Error()}, st.Refused)
	c = s.next()
	require.Equal(t, uint64(14), c.request.After)
	c.snapshot(15, limitsRecord("all", "1", 3), limitsRecord("zone/z1", "bad", 12)) // the same refused record
	c.report(store.WatchReport{InForce: in.Revision, Refused: 12, Fault: errBad.Error()})
	c.change(16, limitsRecord("zone/z1", "good", 16))
	c.report(store.WatchReport{InForce: 16})
	f.Close()
	require.Equal(t, []Candidate{in, candidate(16, limitsRecord("zone/z1", "good", 16))}, tried)
}

// The process is killed while it applies a candidate, which may or may not be in force by then. The next start applies that
// candidate first, so that settings never go back. If the process ends again, the candidate isn't applied a third time.
func TestKilledWhileApplying(t *testing.T) {
	dir, in := savedDir(t)
	s, a := newFakeStore(t), &appliedCandidates{}
	killed := ""
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
		if c.Revision == 12 {
			killed = copyDir(t, dir)
		}
		return a.apply(c)
	}}, s.watch)
	require.NoError(t, err)
	c := s.next()
	c.change(12, limitsRecord("zone/z1", "3", 12))
	c.report(store.WatchReport{InForce: 12})
	f.Close()

	again := ""
	var tried []Candidate
	second := newFakeStore(t)
	f, err = open(Options{Self: self, Replicas: replicas(3), Dir: copyDir(t, killed), Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
		tried = append(tried, c)
		return nil
	}}, second.watch)
	require.NoError(t, err)
	require.Equal(t, []Candidate{candidate(12, limitsRecord("zone/z1", "3", 12))}, tried)
	require.Equal(t, uint64(12), f.Status().InForce)
	require.Equal(t, uint64(12), second.next().request.After)
	f.Close()

	// The candidate is refused at the next start: the last good one is put in force.
	third, b := newFakeStore(t), &appliedCandidates{}
	f, err = open(Options{Self: self, Replicas: replicas(3), Dir: killed, Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
		if c.Revision == 12 {
			again = copyDir(t, killed)
			return errBad
		}
		return b.apply(c)
	}}, third.watch)
	require.NoError(t, err)
	require.Equal(t, []Candidate{in}, b.all())
	require.Equal(t, &Refused{Revision: 12, Fault: errBad.Error()}, f.Status().Refused)
	f.Close()

	// The candidate has ended the process twice: it is refused without being applied.
	b = &appliedCandidates{}
	f = startFollower(t, newFakeStore(t), b, Options{Dir: again})
	require.Equal(t, []Candidate{in}, b.all())
	require.Contains(t, f.Status().Refused.Fault, "ended 2 times")
	require.NotEmpty(t, f.Status().Refused.Advice)
}

// If the saved candidate is refused at the start, because the deploy file has changed, the gatekeeper uses its own file and the
// status reports the refusal.
func TestSavedCandidateRefused(t *testing.T) {
	dir, in := savedDir(t)
	s := newFakeStore(t)
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: discardLogger(), Seed: 1, Timing: quickTiming,
		Apply: func(Candidate) error { return errBad }}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	st := f.Status()
	require.Equal(t, uint64(0), st.InForce)
	require.Empty(t, st.Sections)
	require.False(t, st.RestoredFromDir)
	require.Equal(t, &Refused{Revision: in.Revision, Fault: errBad.Error()}, st.Refused)
	s.next().heartbeat(9)
	st = waitFor(t, f, "seen", func(s Status) bool { return s.Seen == 9 })
	require.Equal(t, uint64(0), st.InForce)
	f.Close()

	a := &appliedCandidates{}
	startFollower(t, newFakeStore(t), a, Options{Dir: dir}) // with the former deploy file, which accepts the candidate
	require.Equal(t, []Candidate{in}, a.all())
}

// A damaged file, whichever file and whatever damage, is reported in the status, ignored and overwritten.
func TestDamagedFiles(t *testing.T) {
	dir, in := savedDir(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{settingsFile, seenFile} {
		whole, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		damages := map[string][]byte{"empty": {}, "half": whole[:len(whole)/2], "no body": whole[:strings.IndexByte(string(whole), '\n')+1],
			"longer": append(append([]byte{}, whole...), ' '), "later version": []byte(strings.Replace(string(whole), fileFormat, "beammux-settings 2", 1))}
		for range 20 {
			at, bit := random.IntN(len(whole)), byte(1)<<random.IntN(8)
			flipped := append([]byte{}, whole...)
			flipped[at] ^= bit
			damages[string(flipped)] = flipped
		}
		for what, text := range damages {
			damaged := copyDir(t, dir)
			require.NoError(t, os.WriteFile(filepath.Join(damaged, name), text, filePerm))
			s, a := newFakeStore(t), &appliedCandidates{}
			f := startFollower(t, s, a, Options{Dir: damaged})
			st := f.Status()
			require.Contains(t, st.DirFault, name, "%s %q", name, what)
			if name == settingsFile {
				require.Empty(t, a.all(), "%s %q", name, what)
				require.Equal(t, uint64(8), st.Seen)
				s.next().snapshot(9, limitsRecord("all", "1", 3), limitsRecord("zone/z1", "2", 5))
			} else {
				require.Equal(t, []Candidate{in}, a.all())
				require.Equal(t, uint64(5), st.Seen)
				s.next().change(9, limitsRecord("zone/z1", "2", 9))
			}
			waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 9 && s.DirFault == "" })
			f.Close()
			a = &appliedCandidates{}
			f = startFollower(t, newFakeStore(t), a, Options{Dir: damaged})
			require.Len(t, a.all(), 1)
			require.Empty(t, f.Status().DirFault)
			f.Close()
		}
	}
}

// Settings that were saved by a gatekeeper of another zone are not put in force.
func TestFilesOfOtherGatekeeper(t *testing.T) {
	dir, _ := savedDir(t)
	s, a := newFakeStore(t), &appliedCandidates{}
	moved := self
	moved.Zone = "z2"
	f, err := open(Options{Self: moved, Replicas: replicas(3), Dir: dir, Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: a.apply}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.Empty(t, a.all())
	require.Contains(t, f.Status().DirFault, "z2")
	require.Equal(t, uint64(8), f.Status().Seen) // revisions are those of the store, whichever gatekeeper saw them
	require.Equal(t, uint64(0), s.next().request.After)
}

// An unusable directory is reported in the status and does not prevent following.
func TestUnusableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, filePerm))
	for _, dir := range []string{file, filepath.Join(file, "below")} {
		s, a := newFakeStore(t), &appliedCandidates{}
		f := startFollower(t, s, a, Options{Dir: dir})
		require.NotEmpty(t, f.Status().DirFault)
		s.next().snapshot(5, limitsRecord("all", "1", 3))
		waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 5 })
		require.Contains(t, f.Status().DirFault, file)
		f.Close()
	}
	var fault *FileError
	require.ErrorAs(t, error(&FileError{file, os.ErrPermission}), &fault)
	require.ErrorIs(t, fault, os.ErrPermission)
}

// A process killed at any point of a series of changes leaves a directory from which a start neither fails, nor goes back to an
// older revision, nor mixes two revisions.
func TestKilledAtAnyPoint(t *testing.T) {
	dir := t.TempDir()
	s := newFakeStore(t)
	var copies []string
	var force []uint64
	last := uint64(0)
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
		copies, force = append(copies, copyDir(t, dir)), append(force, last)
		if c.Revision%5 == 0 {
			return errBad
		}
		last = c.Revision
		copies, force = append(copies, copyDir(t, dir)), append(force, last)
		return nil
	}}, s.watch)
	require.NoError(t, err)
	c := s.next()
	c.snapshot(1)
	for revision := uint64(2); revision < 30; revision++ {
		c.change(revision, limitsRecord("all", "v", revision))
	}
	f.Close()
	require.Greater(t, len(copies), 40)
	for i, dir := range copies {
		var in []Candidate
		f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
			if c.Revision%5 == 0 {
				return errBad
			}
			in = append(in, c)
			return nil
		}}, newFakeStore(t).watch)
		require.NoError(t, err)
		f.Close()
		if force[i] == 0 && len(in) == 0 {
			continue
		}
		require.Len(t, in, 1)
		require.GreaterOrEqual(t, in[0].Revision, force[i])
		require.Equal(t, in[0].Revision, in[0].Sections[scope.SectionLimits].Revision)
	}
}

// Invalid options are rejected with advice. A follower without control machines is valid.
func TestOptions(t *testing.T) {
	good := Options{Self: self, Replicas: replicas(2), Apply: func(Candidate) error { return nil }, Log: discardLogger()}
	for _, spoil := range []func(*Options){
		func(o *Options) { o.Apply = nil },
		func(o *Options) { o.Log = nil },
		func(o *Options) { o.Self.Zone = "a/b" },
		func(o *Options) { o.Replicas[1].Name = o.Replicas[0].Name },
		func(o *Options) { o.Replicas[1].Address = "" },
	} {
		o := good
		o.Replicas = replicas(2)
		spoil(&o)
		_, err := Open(o)
		require.Error(t, err)
		require.Greater(t, len(advice.Of(err)), 25)
	}
	good.Replicas = nil
	f, err := Open(good) // no control machine to follow
	require.NoError(t, err)
	require.Equal(t, time.Duration(-1), f.Status().Age)
	f.Close()
	f.Close()
}

// Files are replaced by renaming, never written in place: a concurrent reader and a killed process see either the old or the
// new file complete. Old temporary files of killed processes are removed.
func TestFilesReplacedAtomically(t *testing.T) {
	dir, _ := savedDir(t)
	before, err := os.ReadFile(filepath.Join(dir, settingsFile))
	require.NoError(t, err)
	old, err := os.Open(filepath.Join(dir, settingsFile))
	require.NoError(t, err)
	defer old.Close()
	leftover, fresh := filepath.Join(dir, ".settings-1"), filepath.Join(dir, ".settings-2")
	require.NoError(t, os.WriteFile(leftover, before[:10], filePerm))
	require.NoError(t, os.WriteFile(fresh, before[:10], filePerm))
	long := time.Now().Add(-2 * leftoverAge)
	require.NoError(t, os.Chtimes(leftover, long, long))

	s, a := newFakeStore(t), &appliedCandidates{}
	f := startFollower(t, s, a, Options{Dir: dir})
	c := s.next()
	c.change(9, limitsRecord("all", "9", 9), limitsDeletion("zone/z1", 9))
	c.report(store.WatchReport{InForce: 9})
	f.Close()
	still, err := io.ReadAll(old)
	require.NoError(t, err)
	require.Equal(t, before, still)
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	var names []string
	for _, file := range files {
		names = append(names, file.Name())
		info, err := file.Info()
		require.NoError(t, err)
		require.Equal(t, os.FileMode(filePerm), info.Mode().Perm())
	}
	require.Equal(t, []string{".settings-2", seenFile, settingsFile}, names)
}

// The process is killed after it saved a refusal and before it removed triedFile: the candidate isn't tried again.
func TestLeftoverTriedFile(t *testing.T) {
	dir, in := savedDir(t)
	s := newFakeStore(t)
	var tried []byte
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: discardLogger(), Seed: 1, Timing: quickTiming, Apply: func(c Candidate) error {
		if c.Revision < 12 {
			return nil
		}
		tried, _ = os.ReadFile(filepath.Join(dir, triedFile))
		return errBad
	}}, s.watch)
	require.NoError(t, err)
	c := s.next()
	c.change(12, limitsRecord("zone/z1", "3", 12))
	c.report(store.WatchReport{InForce: 8, Refused: 12, Fault: errBad.Error()})
	f.Close()
	require.NotEmpty(t, tried)
	require.NoFileExists(t, filepath.Join(dir, triedFile))
	require.NoError(t, os.WriteFile(filepath.Join(dir, triedFile), tried, filePerm))

	a := &appliedCandidates{}
	f = startFollower(t, newFakeStore(t), a, Options{Dir: dir})
	require.Equal(t, []Candidate{in}, a.all())
	require.Equal(t, uint64(12), f.Status().Refused.Revision)
}
