// Package slopes measures the costs of the store, of the gossip, of leases and of the figures at several sizes, as
// series that package capacity reads. It runs the real code with real sockets on loopback, in this process.
package slopes

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/capacity"
)

// Options say what is measured.
type Options struct {
	Groups      []string // of Groups; none: all
	Repetitions int      // of each size, at least 3
	Dir         string   // for the files of stores, on the disk that is to be measured; "": the default for temporary files
	Command     string   // that measures it again, as the series name it
	Beside      string   // what else runs on the machine, in words; the load averages are added
	Progress    func(text string)
	Log         logrus.FieldLogger
}

// minRepetitions is how many values a size needs so that its median is not one of two.
const minRepetitions = 3

// group is what is measured together.
type group struct {
	name    string
	measure func(*run) error
}

var groups = []group{
	{"commits", measureCommits},
	{"snapshots", measureSnapshots},
	{"gossip", measureGossip},
	{"leases", measureLeases},
	{"figures", measureFigures},
}

// Groups are the names of what can be measured apart.
func Groups() (names []string) {
	for _, g := range groups {
		names = append(names, g.name)
	}
	return names
}

// Run measures and gives the series. It ends early, with the context's error, when the context does. With an error the file
// holds what was measured before it.
func Run(ctx context.Context, o Options) (*capacity.File, error) {
	if o.Repetitions < minRepetitions {
		return nil, fmt.Errorf("%d repetitions: at least %d", o.Repetitions, minRepetitions)
	}
	chosen := o.Groups
	if len(chosen) == 0 {
		chosen = Groups()
	}
	for _, name := range chosen {
		if !slices.Contains(Groups(), name) {
			return nil, fmt.Errorf("%q is no group; there are %s", name, strings.Join(Groups(), ", "))
		}
	}
	dir, err := os.MkdirTemp(o.Dir, "slopes-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &run{Options: o, ctx: ctx, dir: dir, started: time.Now(), loadSamples: []string{loadAverages()}, times: defaultTimes}
	for _, g := range groups {
		if !slices.Contains(chosen, g.name) {
			continue
		}
		err := g.measure(r)
		switch {
		case ctx.Err() != nil:
			return r.file(), fmt.Errorf("%s: %w", g.name, ctx.Err())
		case err != nil:
			return r.file(), fmt.Errorf("%s: %w", g.name, err)
		}
		r.loadSamples = append(r.loadSamples, loadAverages())
	}
	return r.file(), nil
}

// times are how long a run watches; tests have shorter ones.
type times struct {
	idle     time.Duration // of a store's group, before each repetition
	converge time.Duration // in which all members of the gossip hold all to be up
	settle   time.Duration // of the gossip, after its members have met
	window   time.Duration // of each repetition of the gossip
}

// Whole states of the gossip go around each second for 5 s after a change of the view, and after that each 10 s.
var defaultTimes = times{idle: 2 * time.Second, converge: 90 * time.Second, settle: 12 * time.Second, window: 15 * time.Second}

// run is one measuring run.
type run struct {
	Options
	ctx         context.Context
	dir         string
	started     time.Time
	loadSamples []string // load averages, at the start and after each group
	times       times
	series      []*capacity.Series
}

// add notes a value of a series at a size. A series begins with its first value.
func (r *run) add(name, unit, sizeLabel string, size, value float64) {
	s := r.findOrAddSeries(name, unit, sizeLabel)
	index := slices.IndexFunc(s.Points, func(p capacity.Point) bool { return p.N == size })
	if index < 0 {
		index = len(s.Points)
		s.Points = append(s.Points, capacity.Point{N: size})
	}
	s.Points[index].Values = append(s.Points[index].Values, value)
}

// findOrAddSeries finds a series, or begins it.
func (r *run) findOrAddSeries(name, unit, sizeLabel string) *capacity.Series {
	s := r.findSeries(name)
	if s == nil {
		s = &capacity.Series{Name: name, Unit: unit, Of: sizeLabel, Command: r.Command, Date: r.started.Format(time.DateOnly)}
		r.series = append(r.series, s)
	}
	return s
}

// addNote says of a series why a size has no values.
func (r *run) addNote(name, unit, sizeLabel string, size float64, reason string) {
	s := r.findOrAddSeries(name, unit, sizeLabel)
	s.Points = append(s.Points, capacity.Point{N: size, Values: []float64{}, Note: reason})
}

func (r *run) findSeries(name string) *capacity.Series {
	for _, s := range r.series {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (r *run) file() *capacity.File {
	beside := fmt.Sprintf("%s; load averages (1, 5, 15 minutes) at the start and after each group: %s",
		r.Beside, strings.Join(r.loadSamples, "; "))
	f := &capacity.File{}
	for _, s := range r.series {
		s.Beside = beside
		f.Series = append(f.Series, *s)
	}
	return f
}

func (r *run) progress(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// sleep waits, or returns the context's error.
func (r *run) sleep(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// waitUntil waits for a condition, looking every pace.
func (r *run) waitUntil(timeout, interval time.Duration, description string, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %s", timeout, description)
		}
		if err := r.sleep(interval); err != nil {
			return err
		}
	}
	return nil
}

// loadAverages is the first three fields of /proc/loadavg, "unknown" where there is none.
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// cpuTime is what this process has used, in user and system mode.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantile gives the value below which a part of the durations lies, in microseconds. It sorts them.
func quantile(durations []time.Duration, fraction float64) float64 {
	slices.Sort(durations)
	index := int(fraction * float64(len(durations)))
	return float64(durations[min(index, len(durations)-1)]) / float64(time.Microsecond)
}
