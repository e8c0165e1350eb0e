package latencylab

import (
	"sort"
	"time"
)

const (
	waitSampleEvery = 5 * time.Millisecond
	gatekeeperWaits = 200 * time.Microsecond // longest wait of the gatekeeper in the samples around a calm pair
	laboratoryWaits = 500 * time.Microsecond // likewise of the laboratory, which has several times as many threads and wake-ups
	waitSpanMost    = 50 * time.Millisecond  // samples further apart are not usable for a pair
)

// waits are samples of the total time that the threads of a process have waited for a core. On a busy machine, these waits are
// not a cost of the process itself.
type waits struct {
	at  []time.Time
	sum []time.Duration
}

// sampleWaits samples until done is closed. The result may be read when finished is closed.
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

// around returns how long the process waited between the last sample before a span and the first one after it. The wait is
// unknown if one of the samples is missing or if they are more than waitSpanMost apart.
func (w *waits) around(from, to time.Time) (waited time.Duration, known bool) {
	first := sort.Search(len(w.at), func(i int) bool { return w.at[i].After(from) }) - 1
	last := sort.Search(len(w.at), func(i int) bool { return !w.at[i].Before(to) })
	if first < 0 || last >= len(w.at) || w.at[last].Sub(w.at[first]) > waitSpanMost {
		return 0, false
	}
	return w.sum[last] - w.sum[first], true
}

// machine holds the samples of the two processes that a call passes through.
type machine struct{ gatekeeper, laboratory *waits }

// sampleMachine samples both processes until done is closed. The result may be read after finished has returned.
func sampleMachine(gatekeeper *process, done <-chan struct{}) (m machine, finished func()) {
	var one, two <-chan struct{}
	m.gatekeeper, one = sampleWaits(gatekeeper.waited, done)
	m.laboratory, two = sampleWaits(func() time.Duration { return waitedForCore("self") }, done)
	return m, func() {
		<-one
		<-two
	}
}

// calm reports whether the machine was calm during a pair of calls: around both calls, the threads of the gatekeeper and of
// the laboratory waited little for a core. The latency of the calls is not a criterion.
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
