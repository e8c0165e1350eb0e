// Package slopes measures the costs of the store, the gossip, leases and telemetry at several sizes, and returns them as series
// for package capacity. It runs the production code in this process, with sockets on loopback.
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

// Options configures a measurement.
type Options struct {
	Groups      []string          // names from Groups; empty for all
	Repetitions int               // values at each size, at least 3
	Dir         string            // parent of a temporary directory for the stores, on the disk to measure; empty for os.TempDir
	Command     string            // command that repeats the measurement, noted in the series
	Beside      string            // description of other load on the machine, noted in the series with the load averages
	Progress    func(text string) // called with each step of the progress; may be nil
	Log         logrus.FieldLogger
}

// minRepetitions is the minimum number of values at a size. The median of fewer values does not exclude an outlier.
const minRepetitions = 3

// group is a named set of measurements.
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

// Groups returns the names of the groups that can be measured separately.
func Groups() (names []string) {
	for _, g := range groups {
		names = append(names, g.name)
	}
	return names
}

// Run measures the chosen groups and returns their series. It stops with the context's error when the context ends. If a
// measurement fails, the file has the values measured before; it is nil if no measurement was started.
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

// times holds the durations of a run's phases; tests use shorter ones.
type times struct {
	idle     time.Duration // of a store without writes, before each repetition
	converge time.Duration // maximum time until each gossip member regards all members as up
	settle   time.Duration // of the gossip, after convergence
	window   time.Duration // length of each repetition of the gossip
}

// defaultTimes are the times of a full run. settle exceeds the 5 s after a change of the view in which gossip members exchange
// full states every second; afterwards they do so every 10 s, and window exceeds one such interval.
var defaultTimes = times{idle: 2 * time.Second, converge: 90 * time.Second, settle: 12 * time.Second, window: 15 * time.Second}

// run is one measurement in progress.
type run struct {
	Options
	ctx         context.Context
	dir         string
	started     time.Time
	loadSamples []string // load averages at the start and after each group
	times       times
	series      []*capacity.Series
}

// add appends a value at a size to a series, and creates the series if it is absent.
func (r *run) add(name, unit, sizeLabel string, size, value float64) {
	s := r.findOrAddSeries(name, unit, sizeLabel)
	index := slices.IndexFunc(s.Points, func(p capacity.Point) bool { return p.N == size })
	if index < 0 {
		index = len(s.Points)
		s.Points = append(s.Points, capacity.Point{N: size})
	}
	s.Points[index].Values = append(s.Points[index].Values, value)
}

// findOrAddSeries returns the named series, and creates it if it is absent.
func (r *run) findOrAddSeries(name, unit, sizeLabel string) *capacity.Series {
	s := r.findSeries(name)
	if s == nil {
		s = &capacity.Series{Name: name, Unit: unit, Of: sizeLabel, Command: r.Command, Date: r.started.Format(time.DateOnly)}
		r.series = append(r.series, s)
	}
	return s
}

// addNote adds a size without values to a series, with the reason.
func (r *run) addNote(name, unit, sizeLabel string, size float64, reason string) {
	s := r.findOrAddSeries(name, unit, sizeLabel)
	s.Points = append(s.Points, capacity.Point{N: size, Values: []float64{}, Note: reason})
}

// findSeries returns the named series, or nil if it is absent.
func (r *run) findSeries(name string) *capacity.Series {
	for _, s := range r.series {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// file returns all series measured so far.
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

// progress formats a message and passes it to Options.Progress.
func (r *run) progress(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// sleep waits for a duration. It returns early with the context's error if the context ends.
func (r *run) sleep(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// waitUntil polls a condition at the interval until it is true, and returns an error with the description after the timeout.
func (r *run) waitUntil(timeout, interval time.Duration, description string, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); {
		if time.Now().After(deadline) {
			return fmt.Errorf("condition not met within %v: %s", timeout, description)
		}
		if err := r.sleep(interval); err != nil {
			return err
		}
	}
	return nil
}

// loadAverages returns the first three fields of /proc/loadavg, or "unknown" if it cannot be read.
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// cpuTime returns the processor time of this process in user and system mode, or 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantile returns, in microseconds, the duration below which a fraction of the durations lies. It sorts the slice.
func quantile(durations []time.Duration, fraction float64) float64 {
	slices.Sort(durations)
	index := int(fraction * float64(len(durations)))
	return float64(durations[min(index, len(durations)-1)]) / float64(time.Microsecond)
}
