package latencylab

import (
	"sort"
	"time"
)

const (
	waitSampleInterval = 5 * time.Millisecond
	maxGatekeeperWait  = 200 * time.Microsecond // longest wait of the gatekeeper in the samples around a calm pair
	maxLaboratoryWait  = 500 * time.Microsecond // likewise of the laboratory, which has several times as many threads and wake-ups
	maxSampleSpan      = 50 * time.Millisecond  // samples further apart are not usable for a pair
)

// waitSamples are samples of the total time that the threads of a process have waited for a core. On a busy machine, these
// waits are not a cost of the process itself.
type waitSamples struct {
	at    []time.Time
	total []time.Duration
}

// sampleWaits samples until done is closed. The result may be read when finished is closed.
func sampleWaits(coreWait func() time.Duration, done <-chan struct{}) (w *waitSamples, finished <-chan struct{}) {
	w = &waitSamples{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(waitSampleInterval)
		defer tick.Stop()
		for {
			total := coreWait()
			w.at, w.total = append(w.at, time.Now()), append(w.total, total)
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
// unknown if one of the samples is missing or if they are more than maxSampleSpan apart.
func (w *waitSamples) around(from, to time.Time) (coreWait time.Duration, known bool) {
	first := sort.Search(len(w.at), func(i int) bool { return w.at[i].After(from) }) - 1
	last := sort.Search(len(w.at), func(i int) bool { return !w.at[i].Before(to) })
	if first < 0 || last >= len(w.at) || w.at[last].Sub(w.at[first]) > maxSampleSpan {
		return 0, false
	}
	return w.total[last] - w.total[first], true
}

// machineSamples holds the samples of the two processes that a call passes through.
type machineSamples struct{ gatekeeper, laboratory *waitSamples }

// sampleMachine samples both processes until done is closed. The result may be read after finished has returned.
func sampleMachine(gatekeeper *process, done <-chan struct{}) (m machineSamples, finished func()) {
	var gatekeeperDone, laboratoryDone <-chan struct{}
	m.gatekeeper, gatekeeperDone = sampleWaits(gatekeeper.coreWait, done)
	m.laboratory, laboratoryDone = sampleWaits(func() time.Duration { return readCoreWait("self") }, done)
	return m, func() {
		<-gatekeeperDone
		<-laboratoryDone
	}
}

// calm reports whether the machine was calm during a pair of calls: around both calls, the threads of the gatekeeper and of
// the laboratory waited little for a core. The latency of the calls is not a criterion.
func (m machineSamples) calm(through, direct attempt) bool {
	from, to := through.due, through.due.Add(through.latency)
	if direct.due.Before(from) {
		from = direct.due
	}
	if end := direct.due.Add(direct.latency); end.After(to) {
		to = end
	}
	gatekeeper, gatekeeperKnown := m.gatekeeper.around(from, to)
	laboratory, laboratoryKnown := m.laboratory.around(from, to)
	return gatekeeperKnown && laboratoryKnown && gatekeeper <= maxGatekeeperWait && laboratory <= maxLaboratoryWait
}
