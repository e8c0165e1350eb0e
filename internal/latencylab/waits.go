package latencylab

import (
	"sort"
	"time"
)

const (
	waitSampleEvery = 5 * time.Millisecond
	gatekeeperWaits = 200 * time.Microsecond // of a calm pair, over the samples around it
	laboratoryWaits = 500 * time.Microsecond // it has several times as many threads and wakes
	waitSpanMost    = 50 * time.Millisecond  // samples further apart say nothing of a pair
)

// waits are samples of how long the threads of a process have waited for a core so far. What it waits for on a busy machine is
// no cost of its own.
type waits struct {
	at  []time.Time
	sum []time.Duration
}

// sampleWaits samples until done is closed. The result may be read once finished is.
func sampleWaits(waited func() time.Duration, done <-chan struct{}) (w *waits, finished <-chan struct{}) {
	w = &waits{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(waitSampleEvery)
		defer tick.Stop()
		for {
			sum := waited()
			w.at, w.sum = append(w.at, time.Now()), append(w.sum, sum)
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	}()
	return w, ended
}

// around gives how long the process waited between the last sample before a span and the first one after it. It is not known
// where there is none, or where they lie far apart.
func (w *waits) around(from, to time.Time) (waited time.Duration, known bool) {
	first := sort.Search(len(w.at), func(i int) bool { return w.at[i].After(from) }) - 1
	last := sort.Search(len(w.at), func(i int) bool { return !w.at[i].Before(to) })
	if first < 0 || last >= len(w.at) || w.at[last].Sub(w.at[first]) > waitSpanMost {
		return 0, false
	}
	return w.sum[last] - w.sum[first], true
}

// machine has the samples of the two processes that a call passes.
type machine struct{ gatekeeper, laboratory *waits }

// sampleMachine samples both until done is closed. The result may be read once finished has returned.
func sampleMachine(gatekeeper *process, done <-chan struct{}) (m machine, finished func()) {
	var one, two <-chan struct{}
	m.gatekeeper, one = sampleWaits(gatekeeper.waited, done)
	m.laboratory, two = sampleWaits(func() time.Duration { return waitedForCore("self") }, done)
	return m, func() {
		<-one
		<-two
	}
}

// calm tells whether a pair of calls ran while the machine was calm: around both calls the threads of the gatekeeper and of the
// laboratory waited little for a core. How long the calls took is no criterion, of neither way.
func (m machine) calm(through, direct attempt) bool {
	from, to := through.due, through.due.Add(through.took)
	if direct.due.Before(from) {
		from = direct.due
	}
	if end := direct.due.Add(direct.took); end.After(to) {
		to = end
	}
	gatekeeper, known := m.gatekeeper.around(from, to)
	laboratory, also := m.laboratory.around(from, to)
	return known && also && gatekeeper <= gatekeeperWaits && laboratory <= laboratoryWaits
}
