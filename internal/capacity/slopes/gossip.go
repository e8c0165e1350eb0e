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
	gossipTopic   = registers.Rates
	topicBytes    = 100
	publishEvery  = time.Second
	meetLooks     = 20 * time.Millisecond
	seedsOfMember = 3
)

const gossipSizes = "members, one topic of 100 bytes a second"

// gossipUnits are the series of the gossip.
var gossipUnits = map[string]string{"gossip.met": "s", "gossip.bytes_sent": "B/s", "gossip.packets_sent": "1/s",
	"gossip.processor": "% of a core", "gossip.heap": "B", "gossip.view_changes": "1/s", "gossip.register_age": "s"}

// measureGossip runs hollow members of the fleet in this process: they gossip and publish one topic, and do nothing else.
func measureGossip(r *run) error {
	for _, size := range []int{16, 32, 48, 64, 128, 200} {
		if err := r.gossipOf(size); err != nil {
			return fmt.Errorf("%d members: %w", size, err)
		}
	}
	return nil
}

func (r *run) gossipOf(size int) error {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	members, err := r.openMembers(size)
	defer closeMembers(members)
	if err != nil {
		return err
	}
	err = r.until(r.times.meet, meetLooks, "every member holds every other to be up", func() bool { return fewestUp(members) == size })
	if r.ctx.Err() != nil {
		return r.ctx.Err()
	}
	if err != nil {
		r.notMet(size, fewestUp(members))
		return nil
	}
	met := time.Since(began)
	r.add("gossip.met", "s", gossipSizes, float64(size), met.Seconds())
	stop := publish(members)
	defer stop()
	if err := r.pause(r.times.settle); err != nil {
		return err
	}
	for repetition := range r.Repetitions {
		first, processor, start := sumOf(members), processorTime(), time.Now()
		if err := r.pause(r.times.window); err != nil {
			return err
		}
		last, used, length := sumOf(members), processorTime()-processor, time.Since(start).Seconds()
		perMember := float64(size) * length
		r.add("gossip.bytes_sent", "B/s", gossipSizes, float64(size), float64(last.bytes-first.bytes)/perMember)
		r.add("gossip.packets_sent", "1/s", gossipSizes, float64(size), float64(last.packets-first.packets)/perMember)
		r.add("gossip.view_changes", "1/s", gossipSizes, float64(size), float64(last.changes-first.changes)/perMember)
		r.add("gossip.processor", "% of a core", gossipSizes, float64(size), 100*used.Seconds()/perMember)
		runtime.GC()
		runtime.ReadMemStats(&after)
		r.add("gossip.heap", "B", gossipSizes, float64(size), float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/float64(size))
		r.add("gossip.register_age", "s", gossipSizes, float64(size), oldest(members).Seconds())
		if repetition == 0 {
			r.progress("gossip: %d members met in %v", size, met.Round(time.Millisecond))
		}
	}
	return nil
}

// openMembers starts members that know the first ones as seeds.
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
		if len(seeds) < seedsOfMember {
			seeds = append(seeds[:len(seeds):len(seeds)], m.Addr())
		}
	}
	return members, nil
}

func closeMembers(members []*fleet.Fleet) {
	var all sync.WaitGroup
	for _, m := range members {
		all.Go(m.Close)
	}
	all.Wait()
}

// fewestUp is the least number of members that one of them holds to be up.
func fewestUp(members []*fleet.Fleet) int {
	fewest := len(members)
	for _, m := range members {
		fewest = min(fewest, m.UpCount())
	}
	return fewest
}

// notMet notes at every series that the members of a size did not meet.
func (r *run) notMet(size, fewest int) {
	why := fmt.Sprintf("not met within %v: one member still held %d of %d to be up, with load averages %s on this machine",
		r.times.meet, fewest, size, loadAverage())
	for name, unit := range gossipUnits {
		r.note(name, unit, gossipSizes, float64(size), why)
	}
	r.progress("gossip: %d members: %s", size, why)
}

// publish changes each member's register once a second, until the returned function is called.
func publish(members []*fleet.Fleet) (stop func()) {
	ended := make(chan struct{})
	var all sync.WaitGroup
	for i, m := range members {
		all.Go(func() {
			tick := time.NewTicker(publishEvery)
			defer tick.Stop()
			for count := uint64(0); ; count++ {
				value := make([]byte, topicBytes)
				binary.BigEndian.PutUint64(value, count)
				binary.BigEndian.PutUint64(value[8:], uint64(i))
				m.Publish(gossipTopic, value)
				select {
				case <-ended:
					return
				case <-tick.C:
				}
			}
		})
	}
	return func() { close(ended); all.Wait() }
}

// sent is what members have sent, and how often their views have changed: with no fault, each change is a member that is
// suspected or given up wrongly, or taken back.
type sent struct{ bytes, packets, changes int64 }

func sumOf(members []*fleet.Fleet) (all sent) {
	for _, m := range members {
		s := m.Status()
		all.bytes += s.Bytes
		all.packets += s.Packets
		_, changes := m.Count(fleetview.Alive)
		all.changes += changes
	}
	return all
}

// oldest is the age of the oldest register that the first member holds of the others.
func oldest(members []*fleet.Fleet) (age time.Duration) {
	for _, r := range members[0].Read(gossipTopic) {
		age = max(age, time.Duration(r.Age)*time.Microsecond)
	}
	return age
}
