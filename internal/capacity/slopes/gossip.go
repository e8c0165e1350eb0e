package slopes

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"sync"
	"time"

	"beammux/control/fleetview"
	"beammux/control/registers"
	"beammux/internal/fleet"
)

const (
	gossipTopic             = registers.Rates
	topicBytes              = 100
	publishInterval         = time.Second
	convergencePollInterval = 20 * time.Millisecond
	seedsPerMember          = 3
)

// gossipSizeLabel describes the size of the gossip series.
const gossipSizeLabel = "members, one topic of 100 bytes a second"

// gossipUnits maps the names of the gossip series to their units.
var gossipUnits = map[string]string{"gossip.met": "s", "gossip.bytes_sent": "B/s", "gossip.packets_sent": "1/s",
	"gossip.processor": "% of a core", "gossip.heap": "B", "gossip.view_changes": "1/s", "gossip.register_age": "s"}

// measureGossip runs members of the fleet in this process that only gossip and publish one topic.
func measureGossip(r *run) error {
	for _, size := range []int{16, 32, 48, 64, 128, 200} {
		if err := r.measureMembers(size); err != nil {
			return fmt.Errorf("%d members: %w", size, err)
		}
	}
	return nil
}

// measureMembers measures one fleet with a number of members.
func (r *run) measureMembers(size int) error {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started := time.Now()
	members, err := r.openMembers(size)
	defer closeMembers(members)
	if err != nil {
		return err
	}
	err = r.waitUntil(r.times.converge, convergencePollInterval, "every member regards all members as up", func() bool { return minUpCount(members) == size })
	if r.ctx.Err() != nil {
		return r.ctx.Err()
	}
	if err != nil {
		r.noteNotConverged(size, minUpCount(members))
		return nil
	}
	convergence := time.Since(started)
	r.add("gossip.met", "s", gossipSizeLabel, float64(size), convergence.Seconds())
	stop := publish(members)
	defer stop()
	if err := r.sleep(r.times.settle); err != nil {
		return err
	}
	for repetition := range r.Repetitions {
		first, cpuBefore, windowStart := totalsOf(members), cpuTime(), time.Now()
		if err := r.sleep(r.times.window); err != nil {
			return err
		}
		last, cpuUsed, seconds := totalsOf(members), cpuTime()-cpuBefore, time.Since(windowStart).Seconds()
		memberSeconds := float64(size) * seconds
		r.add("gossip.bytes_sent", "B/s", gossipSizeLabel, float64(size), float64(last.bytes-first.bytes)/memberSeconds)
		r.add("gossip.packets_sent", "1/s", gossipSizeLabel, float64(size), float64(last.packets-first.packets)/memberSeconds)
		r.add("gossip.view_changes", "1/s", gossipSizeLabel, float64(size), float64(last.changes-first.changes)/memberSeconds)
		r.add("gossip.processor", "% of a core", gossipSizeLabel, float64(size), 100*cpuUsed.Seconds()/memberSeconds)
		runtime.GC()
		runtime.ReadMemStats(&after)
		r.add("gossip.heap", "B", gossipSizeLabel, float64(size), float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/float64(size))
		r.add("gossip.register_age", "s", gossipSizeLabel, float64(size), oldestRegisterAge(members).Seconds())
		if repetition == 0 {
			r.progress("gossip: %d members converged in %v", size, convergence.Round(time.Millisecond))
		}
	}
	return nil
}

// openMembers starts members that use the first ones as seeds. With an error it returns the members started before it.
func (r *run) openMembers(size int) (members []*fleet.Fleet, err error) {
	var seeds []string
	for i := range size {
		m, err := fleet.Open(fleet.Options{Name: fmt.Sprintf("hollow-%04d", i), Zone: fmt.Sprintf("zone-%d", i%6),
			Region: fmt.Sprintf("region-%d", i%3), Program: "slopes", Bind: "127.0.0.1:0", Seeds: seeds,
			State: fleetview.Ready, Log: r.Log})
		if err != nil {
			return members, err
		}
		members = append(members, m)
		if len(seeds) < seedsPerMember {
			seeds = append(seeds[:len(seeds):len(seeds)], m.Addr())
		}
	}
	return members, nil
}

func closeMembers(members []*fleet.Fleet) {
	var closers sync.WaitGroup
	for _, m := range members {
		closers.Go(m.Close)
	}
	closers.Wait()
}

// minUpCount returns the minimum over the members of the number of members that each regards as up.
func minUpCount(members []*fleet.Fleet) int {
	fewest := len(members)
	for _, m := range members {
		fewest = min(fewest, m.UpCount())
	}
	return fewest
}

// noteNotConverged adds a note to every gossip series that the members of a size did not converge in time.
func (r *run) noteNotConverged(size, fewest int) {
	reason := fmt.Sprintf("not met within %v: one member still held %d of %d to be up, with load averages %s on this machine",
		r.times.converge, fewest, size, loadAverages())
	for name, unit := range gossipUnits {
		r.addNote(name, unit, gossipSizeLabel, float64(size), reason)
	}
	r.progress("gossip: %d members: %s", size, reason)
}

// publish changes each member's register every publishInterval, until the returned function is called.
func publish(members []*fleet.Fleet) (stop func()) {
	done := make(chan struct{})
	var publishers sync.WaitGroup
	for i, m := range members {
		publishers.Go(func() {
			ticker := time.NewTicker(publishInterval)
			defer ticker.Stop()
			for count := uint64(0); ; count++ {
				value := make([]byte, topicBytes)
				binary.BigEndian.PutUint64(value, count)
				binary.BigEndian.PutUint64(value[8:], uint64(i))
				m.Publish(gossipTopic, value)
				select {
				case <-done:
					return
				case <-ticker.C:
				}
			}
		})
	}
	return func() { close(done); publishers.Wait() }
}

// gossipTotals counts what all members have sent and how often their views have changed. Without faults, each change is a member
// that is wrongly suspected or declared dead, or restored.
type gossipTotals struct{ bytes, packets, changes int64 }

// totalsOf returns the totals over the members.
func totalsOf(members []*fleet.Fleet) (totals gossipTotals) {
	for _, m := range members {
		status := m.Status()
		totals.bytes += status.Bytes
		totals.packets += status.Packets
		_, changes := m.Count(fleetview.Alive)
		totals.changes += changes
	}
	return totals
}

// oldestRegisterAge returns the age of the oldest register of another member at the first member.
func oldestRegisterAge(members []*fleet.Fleet) (age time.Duration) {
	for _, r := range members[0].Read(gossipTopic) {
		age = max(age, time.Duration(r.Age)*time.Microsecond)
	}
	return age
}
