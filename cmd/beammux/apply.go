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
	Write  []string          `arg:"" optional:"" name:"KEY=FILE" help:"Key of a record to write and the file with its value; - for standard input."`
	Delete []string          `help:"Key of a record to delete; may be repeated." placeholder:"KEY" sep:"none"`
	At     map[string]uint64 `help:"Apply only if that record has this revision; 0: only if there is none; may be repeated." placeholder:"KEY=REVISION"`
	memberFlags
}

func (c storeApplyCmd) Run() error {
	writes, err := c.writes()
	if err != nil {
		return err
	}
	return c.request(func(ctx context.Context) error {
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
			action := "written"
			if w.Delete {
				action = "deleted"
			}
			fmt.Printf("%s: %s, revision %d\n", printable(w.Key), action, revision)
		}
		return nil
	})
}

// exitUsage is the exit code for invalid arguments.
const exitUsage = 2

// usageError returns an error with the exit code for invalid arguments.
func usageError(format string, args ...any) error {
	return withExitCode(fmt.Errorf(format, args...), exitUsage)
}

// writes returns the writes and deletions that the arguments ask for, with the values read from their files.
func (c storeApplyCmd) writes() ([]store.Write, error) {
	var writes []store.Write
	seen := map[string]bool{}
	add := func(w store.Write) error {
		if seen[w.Key] {
			return usageError("%s is named twice", w.Key)
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
			return nil, usageError("%q is not KEY=FILE", arg)
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
			return nil, usageError("--at names %s, which is neither written nor deleted", key)
		}
	}
	if len(writes) == 0 {
		return nil, usageError("nothing to write or delete: name KEY=FILE or --delete KEY")
	}
	return writes, nil
}

// recordValue reads the value of a record from a file; - stands for standard input. The stored value of an inventory begins with
// a line that holds the file extension. For a .csv or .yaml file this line is added; other input must contain it already.
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
	extension := filepath.Ext(file)
	if parsed, err := scope.ParseKey(key); err == nil && parsed.Section == scope.SectionInventory && config.IsInventoryFormat(extension) {
		value = config.InventoryRecord(extension, value)
	}
	return value, nil
}

// checkSettings checks the value of a settings record in a file in the same way as a control machine.
func checkSettings(key, file string, site *control.Site) error {
	if key == "" || file == "" {
		return usageError("--settings and --key must be given together")
	}
	value, err := recordValue(key, file)
	if err != nil {
		return err
	}
	return config.CheckSettings(key, value, site)
}
