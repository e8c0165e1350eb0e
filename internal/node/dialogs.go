package node

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"beammux/internal/actor"
	"beammux/internal/store"
)

// restoreDialogs takes back the calls that stood before this process started, where the group still knows them. Its
// records arrive once this member has caught up with the group.
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

// dialogs writes records of dialogs in order, from a goroutine of its own: no call waits for the store.
type dialogs struct {
	*actor.Actor
	store  store.Store
	prefix string
	log    logrus.FieldLogger
	own    sync.Map // keys that this process put and has not deleted: it needs no record to know them
}

func newDialogs(s store.Store, node string, log logrus.FieldLogger) *dialogs {
	return &dialogs{Actor: actor.New(), store: s, prefix: dialogKey + node + "/", log: log}
}

func (d *dialogs) wrote(key string) bool {
	_, ok := d.own.Load(key)
	return ok
}

func (d *dialogs) write(what string, f func(context.Context) error) {
	d.Post(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeWithin)
		defer cancel()
		if err := f(ctx); err != nil {
			d.log.WithError(err).Warn("store: dialog not " + what)
		}
	})
}

func (d *dialogs) Put(key string, value []byte) {
	d.own.Store(d.prefix+key, nil)
	d.write("recorded", func(ctx context.Context) error {
		_, err := d.store.Put(ctx, d.prefix+key, value)
		return err
	})
}

func (d *dialogs) Delete(key string) {
	d.write("deleted", func(ctx context.Context) error {
		defer d.own.Delete(d.prefix + key) // not before: the record may be committed only now
		return d.store.Delete(ctx, d.prefix+key)
	})
}
