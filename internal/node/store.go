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

// openStore opens this gatekeeper's member of the store, and waits for it if it has a log or other members.
func (n *Node) openStore(startCtx context.Context) error {
	o := store.Options{Node: n.deploy.StoreNode, Dir: n.deploy.StoreDir, DeferTakeOver: true, Sync: n.deploy.StoreSync,
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
		if err := n.awaitStore(startCtx); err != nil {
			return err
		}
	}
	n.recordConfiguration(n.cfg)
	return nil
}

// storeReadyTimeout bounds how long a start waits for a store that it can serve without. A store group without a quorum must
// not keep a gatekeeper from serving if the inventory file or the event bus names its servers: after this time it serves with
// those, and uses the store's records as they are applied.
const storeReadyTimeout = 10 * time.Second

// waitLogInterval is the interval at which a waiting start logs that it waits.
const waitLogInterval = 10 * time.Second

// onlyInStore reports whether the store is the only source of the gatekeeper's servers, so that it cannot serve without it.
func (n *Node) onlyInStore() bool {
	return n.deploy.Inventory == "" && n.cfg.Bus == "" && len(n.cfg.KnownEvents) == 0
}

// awaitStore blocks the start until the member has replayed its log and caught up with a leader, so that neither the "serving"
// log line nor a positive /api/ready appears while the store would answer from an older state.
func (n *Node) awaitStore(startCtx context.Context) error {
	began := time.Now()
	timeout := storeReadyTimeout
	if n.onlyInStore() {
		timeout = time.Second // then the wait is logged and continues
	}
	for {
		ctx, cancel := context.WithTimeout(startCtx, timeout)
		err := n.store.WaitReady(ctx)
		cancel()
		log := n.log.WithField("waited_ms", time.Since(began).Milliseconds())
		switch {
		case err == nil:
			st := n.store.Status()
			log.WithFields(logrus.Fields{"records": st.Records, "applied": st.Applied}).Info("store ready")
			return nil
		case startCtx.Err() != nil:
			return fmt.Errorf("start ended while it waited for the store: %w", context.Cause(startCtx))
		case !n.onlyInStore():
			log.WithError(err).Warn("store: not ready; serving with the inventory file and the event bus, the store's records follow")
			return nil
		}
		log.WithError(err).Warn("store: not ready; the start waits, since it alone holds the list of servers")
		timeout = waitLogInterval
	}
}

// storeTimeout bounds one write to the store.
const storeTimeout = 10 * time.Second

// recordConfiguration writes this gatekeeper's configuration to the store in the background.
func (n *Node) recordConfiguration(cfg *config.Config) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if _, err := n.store.Put(ctx, configurationKey+cfg.Name, cfg.Text); err != nil {
			n.log.WithError(err).Warn("store: configuration not recorded")
		}
	}()
}
