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
func (n *Node) restoreDialogs(writer *dialogWriter) {
	restore := func(r store.Record) {
		if r.Value == nil || writer.hasWritten(r.Key) {
			return
		}
		if err := n.agent.Restore(r.Value); err != nil {
			n.log.WithError(err).WithField("record", r.Key).Warn("store: dialog can't be read")
		}
	}
	n.store.Watch(writer.prefix, restore)
	for _, r := range n.store.List(writer.prefix) {
		restore(r)
	}
}

// dialogWriter writes dialog records to the store in order, on a goroutine of its own, so that no call waits for the store. It
// implements the SIP agent's dialog storage.
type dialogWriter struct {
	*actor.Actor
	store   store.Store
	prefix  string
	log     logrus.FieldLogger
	written sync.Map // keys that this process has put and not deleted; their records need no restoring
}

// newDialogWriter returns a writer of the dialog records of one gatekeeper.
func newDialogWriter(s store.Store, node string, log logrus.FieldLogger) *dialogWriter {
	return &dialogWriter{Actor: actor.New(), store: s, prefix: dialogKey + node + "/", log: log}
}

// hasWritten reports whether this process has written the record with this key and not deleted it.
func (d *dialogWriter) hasWritten(key string) bool {
	_, ok := d.written.Load(key)
	return ok
}

// enqueue queues an operation on the store. The outcome ("recorded", "deleted") completes the log message of a failure.
func (d *dialogWriter) enqueue(outcome string, operation func(context.Context) error) {
	d.Post(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := operation(ctx); err != nil {
			d.log.WithError(err).Warn("store: dialog not " + outcome)
		}
	})
}

// Put queues a write of a dialog's record.
func (d *dialogWriter) Put(key string, value []byte) {
	d.written.Store(d.prefix+key, nil)
	d.enqueue("recorded", func(ctx context.Context) error {
		_, err := d.store.Put(ctx, d.prefix+key, value)
		return err
	})
}

// Delete queues the deletion of a dialog's record.
func (d *dialogWriter) Delete(key string) {
	d.enqueue("deleted", func(ctx context.Context) error {
		defer d.written.Delete(d.prefix + key) // not earlier: a preceding Put may be committed only now
		return d.store.Delete(ctx, d.prefix+key)
	})
}
