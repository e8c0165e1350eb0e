package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"beammux/internal/inventory"
	"beammux/internal/node"
	"beammux/internal/store"
)

type inventoryCmd struct {
	Check  inventoryCheckCmd  `cmd:"" help:"Read an inventory and report whether it is valid."`
	Import inventoryImportCmd `cmd:"" help:"Write an inventory into the store of a running group of gatekeepers."`
}

type inventoryCheckCmd struct {
	File string `arg:"" help:"Inventory (CSV or YAML)."`
}

func (c inventoryCheckCmd) Run() error {
	hosts, err := inventory.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: good: %d servers\n", c.File, len(hosts))
	return nil
}

type inventoryImportCmd struct {
	File  string        `arg:"" help:"Inventory (CSV or YAML)."`
	Store string        `help:"Address of any member of the store." required:""`
	At    *uint64       `help:"Write only if the inventory in the store has this revision; 0: only if there is none."`
	Wait  time.Duration `help:"How long to retry while the group has no leader." default:"10s"`
}

func (c inventoryImportCmd) Run() error {
	hosts, err := inventory.Load(c.File) // an invalid inventory is never written to the store
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	value := append([]byte(filepath.Ext(c.File)+"\n"), text...)
	for {
		revision, err := store.PutTo(ctx, c.Store, node.InventoryKey, value, c.At)
		if err == nil {
			fmt.Printf("%s: imported: %d servers, revision %d\n", c.File, len(hosts), revision)
			return nil
		}
		if errors.Is(err, store.ErrRevision) {
			return withExitCode(fmt.Errorf("%s: not imported: %w", c.Store, err), exitRevision)
		}
		select {
		case <-ctx.Done():
			return withExitCode(fmt.Errorf("%s: not imported: %w", c.Store, err), exitNoAnswer)
		case <-time.After(100 * time.Millisecond):
		}
	}
}
