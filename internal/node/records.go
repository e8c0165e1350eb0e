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

const usedEvery = 5 * time.Second // how often memory and descriptors are recorded

// openRecords opens what hears of events: the records of this start and the socket for watchers, where the deploy file
// names them.
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
	n.hub = &admin.Hub{Node: n.cfg.Name, Known: n.known}
	if n.records != nil {
		n.hub.Records = n.records
	}
	return n.hub, nil
}

// startRecords notes the figures of the rules, and from then on what the process uses.
func (n *Node) startRecords(ctx context.Context) {
	if n.hub == nil && n.records == nil {
		return
	}
	n.core.Note(history.Event{Kind: history.Started, Rules: n.rules(), Name: n.deploy.Calls.Version()})
	go n.noteUsed(ctx)
}

// rules are the figures of the settings that reports need.
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

// known is what a new watcher is told first.
func (n *Node) known() []history.Event {
	version, _ := n.calls.Load().(string)
	events := []history.Event{{At: n.core.Now(), Kind: history.Continued, Rules: n.rules(), Name: version}}
	return append(events, n.core.StateEvents(n.list)...)
}

func (n *Node) closeRecords() {
	if n.hub != nil {
		n.hub.Close()
	}
	if n.records != nil {
		n.records.Close()
	}
}

// noteUsed records what the process uses now and then.
func (n *Node) noteUsed(ctx context.Context) {
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
		case <-time.After(usedEvery):
		}
	}
}
