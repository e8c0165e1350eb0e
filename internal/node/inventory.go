package node

import (
	"bytes"
	"sync"

	"github.com/sirupsen/logrus"

	"beammux/internal/inventory"
	"beammux/internal/routing"
	"beammux/internal/store"
)

// InventoryKey is the store's record that holds an imported inventory: the ending of the file, a line feed, its text.
const InventoryKey = "inventory"

// ImportInventory puts an inventory into force as if it had been imported into the store; name tells the form by its ending.
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

// loadServers gives the list what is known at the start and waits until the module has it.
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
	n.store.Watch(InventoryKey, n.imported)
	if r, ok := n.store.Get(InventoryKey); ok {
		n.imported(r)
	}
	return nil
}

// imported takes an inventory from the store. A bad one leaves the list as it is.
func (n *Node) imported(r store.Record) {
	if r.Key != InventoryKey || r.Value == nil {
		return
	}
	hosts, err := parseImported(r.Value)
	if err != nil {
		n.log.WithError(err).Error("inventory in store is bad, last good one kept")
		return
	}
	n.list.Apply(routing.Update{Source: fromStore, Complete: true, Hosts: hosts}, nil)
	n.log.WithFields(logrus.Fields{"servers": len(hosts), "revision": r.Revision}).Info("inventory taken from store")
}

// parseImported reads the record that an import wrote.
func parseImported(value []byte) ([]routing.Host, error) {
	ext, text, _ := bytes.Cut(value, []byte("\n"))
	return inventory.Parse("store:inventory"+string(ext), text)
}
