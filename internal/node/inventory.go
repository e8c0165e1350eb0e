package node

import (
	"bytes"
	"sync"

	"github.com/sirupsen/logrus"

	"beammux/internal/inventory"
	"beammux/internal/routing"
	"beammux/internal/store"
)

// InventoryKey is the key of the store's record of an imported inventory. Its value is the file name extension, a line feed
// and the text of the file.
const InventoryKey = "inventory"

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
	n.list.Apply(routing.Update{Source: fromStore, Complete: true, Hosts: hosts}, nil)
	n.log.WithFields(logrus.Fields{"servers": len(hosts), "revision": r.Revision}).Info("inventory applied from store")
}

// parseImported parses the value of an InventoryKey record.
func parseImported(value []byte) ([]routing.Host, error) {
	ext, text, _ := bytes.Cut(value, []byte("\n"))
	return inventory.Parse("store:inventory"+string(ext), text)
}
