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

// copyDir copies a directory as it is at this moment, as a process that is killed would leave it.
func copyDir(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	require.NoError(t, os.CopyFS(to, os.DirFS(dir)))
	return to
}

// keptDir is a directory with the records of revision 5 in force, seen up to 8.
func keptDir(t *testing.T) (dir string, in Candidate) {
	t.Helper()
	s, a, dir := newScripted(t), &applied{}, t.TempDir()
	f := start(t, s, a, Options{Dir: dir})
	c := s.next()
	c.snapshot(5, limits("all", "1", 3), limits("zone/z1", "2", 5))
	c.heartbeat(8)
	c.report(store.WatchReport{InForce: 8})
	f.Close()
	require.Len(t, a.all(), 1)
	return dir, a.all()[0]
}

// What was in force is so at Open, before any control machine is asked, and the session goes on from what was seen.
func TestKept(t *testing.T) {
	dir, in := keptDir(t)
	s, a := newScripted(t), &applied{}
	f := start(t, s, a, Options{Dir: dir})
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
	c.change(10, deleted("zone/z1", 10)) // the wider record was kept too
	c.report(store.WatchReport{InForce: 10})
	require.Equal(t, []Candidate{in, candidate(10, limits("all", "1", 3))}, a.all())
}

// A gatekeeper that was killed has no seenFile, or an old one: it goes on from the records that it has.
func TestKeptWithoutSeen(t *testing.T) {
	dir, in := keptDir(t)
	require.NoError(t, removeAll(dir, seenFile))
	s, a := newScripted(t), &applied{}
	f := start(t, s, a, Options{Dir: dir})
	require.Equal(t, []Candidate{in}, a.all())
	require.Equal(t, uint64(5), f.Status().Seen)
	require.Equal(t, uint64(5), s.next().request.After)
}

// Records that are older than what was seen are put in force, but not gone on from: a snapshot comes first, and an older one is
// not taken.
func TestSeenOutlivesRecords(t *testing.T) {
	for _, lost := range []bool{true, false} {
		dir, in := keptDir(t)
		old := copyDir(t, dir)
		s, a := newScripted(t), &applied{}
		f := start(t, s, a, Options{Dir: dir})
		c := s.next()
		c.change(12, limits("all", "3", 12), deleted("zone/z1", 12))
		c.report(store.WatchReport{InForce: 12})
		f.Close()
		if lost {
			require.NoError(t, removeAll(dir, settingsFile))
		} else { // it could not be written
			require.NoError(t, os.Rename(filepath.Join(old, settingsFile), filepath.Join(dir, settingsFile)))
		}

		s, a = newScripted(t), &applied{}
		f = start(t, s, a, Options{Dir: dir})
		require.Equal(t, uint64(12), f.Status().Seen)
		if lost {
			require.Empty(t, a.all())
		} else {
			require.Equal(t, []Candidate{in}, a.all())
		}
		c = s.next()
		require.Equal(t, uint64(0), c.request.After)
		c.snapshot(11, limits("all", "1", 3))
		next := s.next()
		require.NotEqual(t, c.address, next.address)
		before := len(a.all())
		next.snapshot(12, limits("all", "3", 12))
		next.report(store.WatchReport{InForce: 12})
		require.Equal(t, candidate(12, limits("all", "3", 12)), a.all()[before])
		f.Close()
	}
}

// A refused candidate is neither put in force nor tried again by a restart; the last good one is, and the fault still told.
func TestRefusedIsKept(t *testing.T) {
	dir, in := keptDir(t)
	s, a := newScripted(t), &applied{}
	f := start(t, s, a, Options{Dir: dir})
	c := s.next()
	c.change(12, limits("zone/z1", "bad", 12))
	c.report(store.WatchReport{InForce: 8, Refused: 12, Fault: errBad.Error()})
	c.heartbeat(14)
	st := waitFor(t, f, "seen", func(s Status) bool { return s.Seen == 14 })
	require.Equal(t, uint64(8), st.InForce)
	f.Close()

	s = newScripted(t)
	var tried []Candidate
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
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
	c.snapshot(15, limits("all", "1", 3), limits("zone/z1", "bad", 12)) // as before
	c.report(store.WatchReport{InForce: in.Revision, Refused: 12, Fault: errBad.Error()})
	c.change(16, limits("zone/z1", "good", 16))
	c.report(store.WatchReport{InForce: 16})
	f.Close()
	require.Equal(t, []Candidate{in, candidate(16, limits("zone/z1", "good", 16))}, tried)
}

// The process is killed while a candidate is put in force, before or after it was: at the next start that one is tried first, so
// nothing goes back; if the process ends with it again it is not tried a third time.
func TestKilledWhileApplying(t *testing.T) {
	dir, in := keptDir(t)
	s, a := newScripted(t), &applied{}
	killed := ""
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
		if c.Revision == 12 {
			killed = copyDir(t, dir)
		}
		return a.apply(c)
	}}, s.watch)
	require.NoError(t, err)
	c := s.next()
	c.change(12, limits("zone/z1", "3", 12))
	c.report(store.WatchReport{InForce: 12})
	f.Close()

	again := ""
	var tried []Candidate
	second := newScripted(t)
	f, err = open(Options{Self: self, Replicas: replicas(3), Dir: copyDir(t, killed), Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
		tried = append(tried, c)
		return nil
	}}, second.watch)
	require.NoError(t, err)
	require.Equal(t, []Candidate{candidate(12, limits("zone/z1", "3", 12))}, tried)
	require.Equal(t, uint64(12), f.Status().InForce)
	require.Equal(t, uint64(12), second.next().request.After)
	f.Close()

	// It is refused then: the last good one is put in force.
	third, b := newScripted(t), &applied{}
	f, err = open(Options{Self: self, Replicas: replicas(3), Dir: killed, Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
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

	// It has ended the process twice.
	b = &applied{}
	f = start(t, newScripted(t), b, Options{Dir: again})
	require.Equal(t, []Candidate{in}, b.all())
	require.Contains(t, f.Status().Refused.Fault, "ended 2 times")
	require.NotEmpty(t, f.Status().Refused.Advice)
}

// If the last good candidate is refused at the start (the deploy file has changed) the gatekeeper runs on its file, and says so.
func TestKeptRefused(t *testing.T) {
	dir, in := keptDir(t)
	s := newScripted(t)
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: quiet(), Seed: 1, Timing: quick,
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

	a := &applied{}
	start(t, newScripted(t), a, Options{Dir: dir}) // and with the old file again
	require.Equal(t, []Candidate{in}, a.all())
}

// A damaged file, whichever and however, is said so and ignored, and written anew.
func TestDamagedFiles(t *testing.T) {
	dir, in := keptDir(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{settingsFile, seenFile} {
		whole, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		damages := map[string][]byte{"empty": {}, "half": whole[:len(whole)/2], "no body": whole[:strings.IndexByte(string(whole), '\n')+1],
			"longer": append(append([]byte{}, whole...), ' '), "later version": []byte(strings.Replace(string(whole), fileForm, "beammux-settings 2", 1))}
		for range 20 {
			at, bit := random.IntN(len(whole)), byte(1)<<random.IntN(8)
			flipped := append([]byte{}, whole...)
			flipped[at] ^= bit
			damages[string(flipped)] = flipped
		}
		for what, text := range damages {
			damaged := copyDir(t, dir)
			require.NoError(t, os.WriteFile(filepath.Join(damaged, name), text, filePerm))
			s, a := newScripted(t), &applied{}
			f := start(t, s, a, Options{Dir: damaged})
			st := f.Status()
			require.Contains(t, st.DirFault, name, "%s %q", name, what)
			if name == settingsFile {
				require.Empty(t, a.all(), "%s %q", name, what)
				require.Equal(t, uint64(8), st.Seen)
				s.next().snapshot(9, limits("all", "1", 3), limits("zone/z1", "2", 5))
			} else {
				require.Equal(t, []Candidate{in}, a.all())
				require.Equal(t, uint64(5), st.Seen)
				s.next().change(9, limits("zone/z1", "2", 9))
			}
			waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 9 && s.DirFault == "" })
			f.Close()
			a = &applied{}
			f = start(t, newScripted(t), a, Options{Dir: damaged})
			require.Len(t, a.all(), 1)
			require.Empty(t, f.Status().DirFault)
			f.Close()
		}
	}
}

// A file that is of a gatekeeper of another zone is not put in force.
func TestOtherGatekeeper(t *testing.T) {
	dir, _ := keptDir(t)
	s, a := newScripted(t), &applied{}
	moved := self
	moved.Zone = "z2"
	f, err := open(Options{Self: moved, Replicas: replicas(3), Dir: dir, Log: quiet(), Seed: 1, Timing: quick, Apply: a.apply}, s.watch)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.Empty(t, a.all())
	require.Contains(t, f.Status().DirFault, "z2")
	require.Equal(t, uint64(8), f.Status().Seen) // revisions are the store's
	require.Equal(t, uint64(0), s.next().request.After)
}

// A directory that can't be used keeps nobody from following.
func TestUnusableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, filePerm))
	for _, dir := range []string{file, filepath.Join(file, "below")} {
		s, a := newScripted(t), &applied{}
		f := start(t, s, a, Options{Dir: dir})
		require.NotEmpty(t, f.Status().DirFault)
		s.next().snapshot(5, limits("all", "1", 3))
		waitFor(t, f, "in force", func(s Status) bool { return s.InForce == 5 })
		require.Contains(t, f.Status().DirFault, file)
		f.Close()
	}
	var fault *FileError
	require.ErrorAs(t, error(&FileError{file, os.ErrPermission}), &fault)
	require.ErrorIs(t, fault, os.ErrPermission)
}

// At no moment of many changes is there a directory from which a start fails, goes back or mixes two revisions.
func TestKilledAnywhere(t *testing.T) {
	dir := t.TempDir()
	s := newScripted(t)
	var copies []string
	var force []uint64
	last := uint64(0)
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
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
		c.change(revision, limits("all", "v", revision))
	}
	f.Close()
	require.Greater(t, len(copies), 40)
	for i, dir := range copies {
		var in []Candidate
		f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
			if c.Revision%5 == 0 {
				return errBad
			}
			in = append(in, c)
			return nil
		}}, newScripted(t).watch)
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

func TestOptions(t *testing.T) {
	good := Options{Self: self, Replicas: replicas(2), Apply: func(Candidate) error { return nil }, Log: quiet()}
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
	f, err := Open(good) // nobody to follow: it stays as it is
	require.NoError(t, err)
	require.Equal(t, time.Duration(-1), f.Status().Age)
	f.Close()
	f.Close()
}

// A file is replaced, never written over: who reads meanwhile, or a process that is killed, has the old one or the new one whole.
// What a killed process left half-written goes away.
func TestReplacesWhole(t *testing.T) {
	dir, _ := keptDir(t)
	before, err := os.ReadFile(filepath.Join(dir, settingsFile))
	require.NoError(t, err)
	old, err := os.Open(filepath.Join(dir, settingsFile))
	require.NoError(t, err)
	defer old.Close()
	leftover, fresh := filepath.Join(dir, ".settings-1"), filepath.Join(dir, ".settings-2")
	require.NoError(t, os.WriteFile(leftover, before[:10], filePerm))
	require.NoError(t, os.WriteFile(fresh, before[:10], filePerm))
	long := time.Now().Add(-2 * leftoverAfter)
	require.NoError(t, os.Chtimes(leftover, long, long))

	s, a := newScripted(t), &applied{}
	f := start(t, s, a, Options{Dir: dir})
	c := s.next()
	c.change(9, limits("all", "9", 9), deleted("zone/z1", 9))
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

// The process is killed after a refusal was kept and before the file of the candidate was removed: that one is not tried again.
func TestLeftoverTried(t *testing.T) {
	dir, in := keptDir(t)
	s := newScripted(t)
	var tried []byte
	f, err := open(Options{Self: self, Replicas: replicas(3), Dir: dir, Log: quiet(), Seed: 1, Timing: quick, Apply: func(c Candidate) error {
		if c.Revision < 12 {
			return nil
		}
		tried, _ = os.ReadFile(filepath.Join(dir, triedFile))
		return errBad
	}}, s.watch)
	require.NoError(t, err)
	c := s.next()
	c.change(12, limits("zone/z1", "3", 12))
	c.report(store.WatchReport{InForce: 8, Refused: 12, Fault: errBad.Error()})
	f.Close()
	require.NotEmpty(t, tried)
	require.NoFileExists(t, filepath.Join(dir, triedFile))
	require.NoError(t, os.WriteFile(filepath.Join(dir, triedFile), tried, filePerm))

	a := &applied{}
	f = start(t, newScripted(t), a, Options{Dir: dir})
	require.Equal(t, []Candidate{in}, a.all())
	require.Equal(t, uint64(12), f.Status().Refused.Revision)
}
