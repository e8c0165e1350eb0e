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

// leastRepetitions is how many values a size needs so that its median is not one of two.
const leastRepetitions = 3

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
	if o.Repetitions < leastRepetitions {
		return nil, fmt.Errorf("%d repetitions: at least %d", o.Repetitions, leastRepetitions)
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
	r := &run{Options: o, ctx: ctx, dir: dir, began: time.Now(), loads: []string{loadAverage()}, times: fullTimes}
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
		r.loads = append(r.loads, loadAverage())
	}
	return r.file(), nil
}

// times are how long a run watches; tests have shorter ones.
type times struct {
	idle   time.Duration // of a store's group, before each repetition
	meet   time.Duration // in which all members of the gossip hold all to be up
	settle time.Duration // of the gossip, after its members have met
	window time.Duration // of each repetition of the gossip
}

// Whole states of the gossip go around each second for 5 s after a change of the view, and after that each 10 s.
var fullTimes = times{idle: 2 * time.Second, meet: 90 * time.Second, settle: 12 * time.Second, window: 15 * time.Second}

// run is one measuring run.
type run struct {
	Options
	ctx    context.Context
	dir    string
	began  time.Time
	loads  []string // load averages, at the start and after each group
	times  times
	series []*capacity.Series
}

// add notes a value of a series at a size. A series begins with its first value.
func (r *run) add(name, unit, of string, size, value float64) {
	s := r.begin(name, unit, of)
	at := slices.IndexFunc(s.Points, func(p capacity.Point) bool { return p.N == size })
	if at < 0 {
		at = len(s.Points)
		s.Points = append(s.Points, capacity.Point{N: size})
	}
	s.Points[at].Values = append(s.Points[at].Values, value)
}

// begin finds a series, or begins it.
func (r *run) begin(name, unit, of string) *capacity.Series {
	s := r.find(name)
	if s == nil {
		s = &capacity.Series{Name: name, Unit: unit, Of: of, Command: r.Command, Date: r.began.Format(time.DateOnly)}
		r.series = append(r.series, s)
	}
	return s
}

// note says of a series why a size has no values.
func (r *run) note(name, unit, of string, size float64, why string) {
	s := r.begin(name, unit, of)
	s.Points = append(s.Points, capacity.Point{N: size, Values: []float64{}, Note: why})
}

func (r *run) find(name string) *capacity.Series {
	for _, s := range r.series {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (r *run) file() *capacity.File {
	beside := fmt.Sprintf("%s; load averages (1, 5, 15 minutes) at the start and after each group: %s",
		r.Beside, strings.Join(r.loads, "; "))
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

// pause waits, or returns the context's error.
func (r *run) pause(d time.Duration) error {
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// until waits for a condition, looking every pace.
func (r *run) until(within, pace time.Duration, what string, is func() bool) error {
	for end := time.Now().Add(within); !is(); {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
		if err := r.pause(pace); err != nil {
			return err
		}
	}
	return nil
}

// loadAverage is the first three fields of /proc/loadavg, "unknown" where there is none.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}

// processorTime is what this process has used, in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// quantile gives the value below which a part of the durations lies, in microseconds. It sorts them.
func quantile(all []time.Duration, part float64) float64 {
	slices.Sort(all)
	at := int(part * float64(len(all)))
	return float64(all[min(at, len(all)-1)]) / float64(time.Microsecond)
}
