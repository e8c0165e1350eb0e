package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"beammux/control"
	"beammux/control/scope"
	"beammux/internal/config"
	"beammux/internal/store"
)

type storeApplyCmd struct {
	Write  []string          `arg:"" optional:"" name:"KEY=FILE" help:"A record to write and the file with its value; - for standard input."`
	Delete []string          `help:"Key of a record to delete; may be given again." placeholder:"KEY" sep:"none"`
	At     map[string]uint64 `help:"Only if that record is at this revision, 0: if there is none; may be given again." placeholder:"KEY=REVISION"`
	member
}

func (c storeApplyCmd) Run() error {
	writes, err := c.writes()
	if err != nil {
		return err
	}
	return c.ask(func(ctx context.Context) error {
		revision, err := store.TransactTo(ctx, c.Store, writes)
		if err != nil {
			return err
		}
		if c.JSON {
			keys := []string{}
			for _, w := range writes {
				keys = append(keys, w.Key)
			}
			return printJSON(map[string]any{"keys": keys, "revision": revision})
		}
		for _, w := range writes {
			what := "written"
			if w.Delete {
				what = "deleted"
			}
			fmt.Printf("%s: %s, revision %d\n", printable(w.Key), what, revision)
		}
		return nil
	})
}

// exitUsage is the code of a call whose arguments make no sense.
const exitUsage = 2

func wrongCall(format string, args ...any) error {
	return fault(fmt.Errorf(format, args...), exitUsage)
}

// writes reads what is to be written.
func (c storeApplyCmd) writes() ([]store.Write, error) {
	var writes []store.Write
	seen := map[string]bool{}
	add := func(w store.Write) error {
		if seen[w.Key] {
			return wrongCall("%s is named twice", w.Key)
		}
		seen[w.Key] = true
		if at, ok := c.At[w.Key]; ok {
			w.At = &at
		}
		writes = append(writes, w)
		return nil
	}
	for _, arg := range c.Write {
		key, file, ok := strings.Cut(arg, "=")
		if !ok || key == "" || file == "" {
			return nil, wrongCall("%q is not KEY=FILE", arg)
		}
		value, err := recordValue(key, file)
		if err != nil {
			return nil, err
		}
		if err := add(store.Write{Key: key, Value: value}); err != nil {
			return nil, err
		}
	}
	for _, key := range c.Delete {
		if err := add(store.Write{Key: key, Delete: true}); err != nil {
			return nil, err
		}
	}
	for key := range c.At {
		if !seen[key] {
			return nil, wrongCall("--at names %s, which is neither written nor deleted", key)
		}
	}
	if len(writes) == 0 {
		return nil, wrongCall("nothing to write or delete: name KEY=FILE or --delete KEY")
	}
	return writes, nil
}

// recordValue reads the value of a record from a file, - for standard input. That of a section inventory is taken as it is
// kept, with the file's ending in the first line, or from a .csv or .yaml file, whose ending is then put before it.
func recordValue(key, file string) ([]byte, error) {
	in := os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	value, err := io.ReadAll(in)
	if err != nil {
		return nil, err
	}
	ending := filepath.Ext(file)
	if k, err := scope.ParseKey(key); err == nil && k.Section == scope.SectionInventory && config.IsInventoryFormat(ending) {
		value = config.InventoryRecord(ending, value)
	}
	return value, nil
}

// checkSettings checks a file as a control machine does the value of a record.
func checkSettings(key, file string, site *control.Site) error {
	if key == "" || file == "" {
		return wrongCall("--settings and --key go together")
	}
	value, err := recordValue(key, file)
	if err != nil {
		return err
	}
	return config.CheckSettings(key, value, site)
}
