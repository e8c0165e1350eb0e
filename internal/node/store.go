package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/control/quota"
	"beammux/internal/config"
	"beammux/internal/limits"
	"beammux/internal/store"
)

func (n *Node) openStore(begin context.Context) error {
	o := store.Options{Node: n.deploy.StoreNode, Dir: n.deploy.StoreDir, Sync: n.deploy.StoreSync,
		Join: n.deploy.StoreJoin, Via: n.deploy.StoreVia, Log: n.log, Reducers: map[string]store.Reducer{limits.LeaseKey: quota.Reduce}}
	if o.Node == "" {
		o.Node = n.cfg.Name
	}
	if o.Node == "" {
		o.Node = "beammux"
	}
	for _, p := range n.deploy.StorePeers {
		o.Peers = append(o.Peers, store.Peer{Node: p.Node, Address: p.Address})
	}
	if len(o.Peers) > 0 || o.Join {
		l, err := net.Listen("tcp", n.deploy.StoreListen)
		if err != nil {
			return err
		}
		o.Listener = l
		n.log.WithField("listen", l.Addr().String()).Info("store listening")
	}
	s, err := store.Open(o)
	if err != nil {
		if o.Listener != nil {
			o.Listener.Close()
		}
		return err
	}
	n.store = s
	if o.Dir != "" || o.Listener != nil {
		if err := n.awaitStore(begin); err != nil {
			return err
		}
	}
	n.recordConfiguration(n.cfg)
	return nil
}

// storeReadyWithin bounds how long a start waits for a store that it can serve without. A group without a majority must
// not keep a gatekeeper from its callers where the inventory file or the event bus names its servers: past it, the
// gatekeeper serves with those, and takes the store's records as they are applied.
const storeReadyWithin = 10 * time.Second

const sayEvery = 10 * time.Second // how often a start that goes on waiting says so

// onlyInStore tells whether the store alone can name the gatekeeper's servers: then it holds what the gatekeeper needs.
func (n *Node) onlyInStore() bool {
	return n.deploy.Inventory == "" && n.cfg.Bus == "" && len(n.cfg.KnownEvents) == 0
}

// awaitStore holds the start until the member has replayed its log and caught up with a leader, so that `serving` and a
// yes to /api/ready never come while the store would answer from an older state.
func (n *Node) awaitStore(begin context.Context) error {
	began := time.Now()
	within := storeReadyWithin
	if n.onlyInStore() {
		within = time.Second // then it is said, and the wait goes on
	}
	for {
		ctx, cancel := context.WithTimeout(begin, within)
		err := n.store.WaitReady(ctx)
		cancel()
		log := n.log.WithField("waited_ms", time.Since(began).Milliseconds())
		switch {
		case err == nil:
			st := n.store.Status()
			log.WithFields(logrus.Fields{"records": st.Records, "applied": st.Applied}).Info("store ready")
			return nil
		case begin.Err() != nil:
			return fmt.Errorf("start ended while it waited for the store: %w", context.Cause(begin))
		case !n.onlyInStore():
			log.WithError(err).Warn("store: not ready; serving with the inventory file and the event bus, the store's records follow")
			return nil
		}
		log.WithError(err).Warn("store: not ready; the start waits, since it alone holds the list of servers")
		within = sayEvery
	}
}

const storeWithin = 10 * time.Second

// recordConfiguration notes in the store what this gatekeeper runs with. Nothing waits for it.
func (n *Node) recordConfiguration(cfg *config.Config) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeWithin)
		defer cancel()
		if _, err := n.store.Put(ctx, configurationKey+cfg.Name, cfg.Text); err != nil {
			n.log.WithError(err).Warn("store: configuration not recorded")
		}
	}()
}
