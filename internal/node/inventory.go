package node

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"beammux/internal/inventory"
	"beammux/internal/routing"
	"beammux/internal/store"
)

// InventoryKey is the key of the store's record of an imported inventory. Its value is the file name extension, a line feed
// and the text of the file.
const InventoryKey = "inventory"

// defaultRemovalDelay is how long a server stays on the list that the newest inventory lacks, or has at another address. A file that is
// half-saved when it is read, by a program that writes it row by row, is whole again by then.
const defaultRemovalDelay = 30 * time.Second

// rereadDelay is the time after which an inventory file that lacked servers at a reload is read again.
const rereadDelay = 20 * time.Second

// ImportInventory replaces the list of servers by an inventory, as if it had been imported into the store. The extension of
// name selects the format. ImportInventory returns once the list has been applied.
func (n *Node) ImportInventory(name string, text []byte) error {
	hosts, err := inventory.Parse(name, text)
	if err != nil {
		return err
	}
	loaded := make(chan struct{})
	n.list.Apply(routing.Update{Source: fromStore, Complete: true, Hosts: hosts}, func() { close(loaded) })
	<-loaded
	return nil
}

// loadServers applies the servers that are known at the start to the list, waits until the core has them, and watches the
// store for imported inventories.
func (n *Node) loadServers() error {
	var updates []routing.Update
	for _, e := range n.cfg.KnownEvents {
		if e.Update != nil {
			u := *e.Update
			u.Source = fromBus
			updates = append(updates, u)
		}
	}
	if n.deploy.Inventory != "" {
		hosts, err := inventory.Load(n.deploy.Inventory)
		if err != nil {
			return err
		}
		n.settings.file.hosts = hosts
		updates = append(updates, routing.Update{Source: fromFile, Complete: true, Hosts: hosts})
	}
	var loaded sync.WaitGroup
	for _, u := range updates {
		loaded.Add(1)
		n.list.Apply(u, loaded.Done)
	}
	loaded.Wait()
	n.store.Watch(InventoryKey, n.applyImported)
	if r, ok := n.store.Get(InventoryKey); ok {
		n.applyImported(r)
	}
	return nil
}

// rereadIfIncomplete reads an inventory file again after a while, if the list that it has just given lacks servers of the one before.
func (n *Node) rereadIfIncomplete(file string, before, now []routing.Host) {
	complete := true
	for _, old := range before {
		complete = complete && slices.ContainsFunc(now, func(h routing.Host) bool { return h.Name == old.Name && h.Addr == old.Addr })
	}
	if complete {
		return
	}
	time.AfterFunc(rereadDelay, func() {
		hosts, err := inventory.Load(file)
		if err != nil {
			n.log.WithError(err).Error("inventory is bad, last good one kept")
			return
		}
		n.settings.mu.Lock()
		defer n.settings.mu.Unlock()
		if !slices.Equal(n.settings.file.hosts, now) || slices.Equal(hosts, now) {
			return // reloaded meanwhile, or still the same
		}
		n.settings.file.hosts = hosts
		current := n.applySections(n.removalDelay)
		n.log.WithField("servers", len(current.hosts)).Info("inventory has changed since it was reloaded: applied")
	})
}

// applyImported applies an inventory record of the store. An invalid one leaves the list unchanged.
func (n *Node) applyImported(r store.Record) {
	if r.Key != InventoryKey || r.Value == nil {
		return
	}
	hosts, err := parseImported(r.Value)
	if err != nil {
		n.log.WithError(err).Error("inventory in store is bad, last good one kept")
		return
	}
	n.list.Apply(routing.Update{Source: fromStore, Complete: true, Hosts: hosts, RemovalDelay: n.removalDelay}, nil)
	n.log.WithFields(logrus.Fields{"servers": len(hosts), "revision": r.Revision}).Info("inventory applied from store")
}

// parseImported parses the value of an InventoryKey record.
func parseImported(value []byte) ([]routing.Host, error) {
	ext, text, _ := bytes.Cut(value, []byte("\n"))
	return inventory.Parse("store:inventory"+string(ext), text)
}
