package node

import (
	"context"
	"os"
	"runtime/metrics"
	"time"

	"beammux/internal/admin"
	"beammux/internal/history"
	"beammux/internal/record"
	"beammux/internal/routing"
)

// usageInterval is the interval at which memory and descriptors are recorded.
const usageInterval = 5 * time.Second

// openRecords opens the receivers of events that the deploy file configures: the records of this process and the console
// socket. It returns nil if there are none.
func (n *Node) openRecords() (routing.Recorder, error) {
	if n.deploy.Records == nil && n.deploy.Console == "" {
		return nil, nil
	}
	if o := n.deploy.Records; o != nil {
		r, err := record.NewRecorder(record.Options{Dir: o.Dir, Node: n.cfg.Name, MaxBytes: int64(o.MaxMB) << 20, MaxAge: o.MaxAge,
			SegmentBytes: int64(o.SegmentMB) << 20, Log: n.log})
		if err != nil {
			return nil, err
		}
		n.records = r
		if n.deploy.Console == "" {
			return r, nil
		}
	}
	n.hub = &admin.Hub{Node: n.cfg.Name, Snapshot: n.snapshot}
	if n.records != nil {
		n.hub.Records = n.records
	}
	return n.hub, nil
}

// startRecords records the settings that reports need, and from then on the resource usage of the process.
func (n *Node) startRecords(ctx context.Context) {
	if n.hub == nil && n.records == nil {
		return
	}
	n.core.Note(history.Event{Kind: history.Started, Rules: n.rules(), Name: n.deploy.Calls.Version()})
	go n.recordUsage(ctx)
}

// rules returns the settings that reports need.
func (n *Node) rules() *history.Rules {
	s := n.cfg.Site
	r := &history.Rules{Reports: s.ReportNames, Fronts: s.Gatekeepers, AnswerSlack: s.AnswerSlack, DrainGrace: s.DrainGrace,
		ReleaseGuard: s.ReleaseGuard, FallMultiple: s.FallMultiple, FallTime: s.FallTime, StartCapacity: s.StartCapacity,
		WarmWithin: s.WarmWithin}
	for i, c := range s.Classes {
		r.Classes = append(r.Classes, history.Class{Name: s.ClassNames[i], Aim: c.LatencyTarget, Worth: c.Worth, LateWorth: c.LateWorth})
	}
	return r
}

// snapshot returns the events that a new watcher receives first: the current settings and state.
func (n *Node) snapshot() []history.Event {
	version, _ := n.calls.Load().(string)
	events := []history.Event{{At: n.core.Now(), Kind: history.Continued, Rules: n.rules(), Name: version}}
	return append(events, n.core.StateEvents(n.list)...)
}

// closeRecords closes the receivers of events.
func (n *Node) closeRecords() {
	if n.hub != nil {
		n.hub.Close()
	}
	if n.records != nil {
		n.records.Close()
	}
}

// recordUsage records the memory and the open descriptors of the process at every interval until ctx is done.
func (n *Node) recordUsage(ctx context.Context) {
	memory := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	for {
		metrics.Read(memory)
		open := -1.0
		if fds, err := os.ReadDir("/proc/self/fd"); err == nil {
			open = float64(len(fds))
		}
		n.core.Note(history.Event{Kind: history.ResourceUsage,
			Values: []float64{float64(memory[0].Value.Uint64() - memory[1].Value.Uint64()), open}})
		select {
		case <-ctx.Done():
			return
		case <-time.After(usageInterval):
		}
	}
}
