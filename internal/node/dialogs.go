package node

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"beammux/internal/actor"
	"beammux/internal/store"
)

// restoreDialogs restores the dialogs of calls that were established before this process started, from the records that the
// store still holds. The records arrive once this member has caught up with its store group.
func (n *Node) restoreDialogs(own *dialogs) {
	take := func(r store.Record) {
		if r.Value == nil || own.wrote(r.Key) {
			return
		}
		if err := n.agent.Restore(r.Value); err != nil {
			n.log.WithError(err).WithField("record", r.Key).Warn("store: dialog can't be read")
		}
	}
	n.store.Watch(own.prefix, take)
	for _, r := range n.store.List(own.prefix) {
		take(r)
	}
}

// dialogs writes dialog records to the store in order, on a goroutine of its own, so that no call waits for the store. It
// implements the SIP agent's dialog storage.
type dialogs struct {
	*actor.Actor
	store  store.Store
	prefix string
	log    logrus.FieldLogger
	own    sync.Map // keys that this process has put and not deleted; their records need no restoring
}

func newDialogs(s store.Store, node string, log logrus.FieldLogger) *dialogs {
	return &dialogs{Actor: actor.New(), store: s, prefix: dialogKey + node + "/", log: log}
}

// wrote reports whether this process has written the record with this key and not deleted it.
func (d *dialogs) wrote(key string) bool {
	_, ok := d.own.Load(key)
	return ok
}

// write queues an operation on the store. The outcome ("recorded", "deleted") completes the log message of a failure.
func (d *dialogs) write(what string, f func(context.Context) error) {
	d.Post(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeWithin)
		defer cancel()
		if err := f(ctx); err != nil {
			d.log.WithError(err).Warn("store: dialog not " + what)
		}
	})
}

// Put queues a write of a dialog's record.
func (d *dialogs) Put(key string, value []byte) {
	d.own.Store(d.prefix+key, nil)
	d.write("recorded", func(ctx context.Context) error {
		_, err := d.store.Put(ctx, d.prefix+key, value)
		return err
	})
}

// Delete queues the deletion of a dialog's record.
func (d *dialogs) Delete(key string) {
	d.write("deleted", func(ctx context.Context) error {
		defer d.own.Delete(d.prefix + key) // not earlier: a preceding Put may be committed only now
		return d.store.Delete(ctx, d.prefix+key)
	})
}
