// Package config reads the configuration file of a gatekeeper, its deploy file, the file of a control machine and the
// settings records that control machines distribute.
package config

import (
	"fmt"
	"os"
	"strconv"

	"github.com/valyala/fastjson"

	"beammux/control"
	"beammux/internal/ops"
	"beammux/internal/protocol/bus"
)

// Config is the configuration that the platform passes to a gatekeeper.
type Config struct {
	Name, Listen string
	AdminAddr    string // address of the operators' HTTP server, HOST:PORT; empty: off
	Seed         uint64
	Cores        float64
	MemoryMB     int
	Sockets      int
	Bus          string
	LastOffset   int64       // offset of the last event in KnownEvents
	KnownEvents  []bus.Event // bus events up to the start
	Site         *control.Site
	Text         []byte // contents of the file
}

// Error reports a fault in a file. Key is the key at fault, or empty.
type Error struct{ File, Key, Reason string }

func (e *Error) Error() string {
	if e.Key == "" {
		return e.File + ": " + e.Reason
	}
	return e.File + ": key " + e.Key + ": " + e.Reason
}

// Load reads and decodes a configuration file. Faults are of type *Error.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{file, "", "can't be read: " + err.Error()}
	}
	c, err := parse(text)
	if c != nil {
		c.Text = text
	}
	if e, ok := err.(*Error); ok {
		e.File = file
	}
	return c, err
}

func parse(text []byte) (*Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, &Error{"", "", "not JSON: " + err.Error()}
	}
	c := &Config{Name: string(v.GetStringBytes("name")), Listen: string(v.GetStringBytes("listen")),
		Bus: string(v.GetStringBytes("bus")), Cores: v.GetFloat64("limits", "cores"),
		MemoryMB: v.GetInt("limits", "memory_mb"), Sockets: v.GetInt("limits", "sockets")}
	if c.AdminAddr = string(v.GetStringBytes("admin_addr")); c.AdminAddr != "" {
		if err := CheckAdminAddr(c.AdminAddr); err != nil {
			return nil, &Error{"", "admin_addr", err.Error()}
		}
	}
	if c.Listen == "" {
		return nil, &Error{"", "listen", "missing"}
	}
	if seed := string(v.GetStringBytes("seed")); seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return nil, &Error{"", "seed", "not 16 hex digits"}
		}
	}
	settings := v.Get("settings")
	if settings == nil {
		return nil, &Error{"", "settings", "missing"}
	}
	if c.Site, err = control.DecodeSite(settings); err != nil {
		return nil, &Error{"", "settings", err.Error()}
	}
	if known := v.Get("known"); known != nil {
		c.LastOffset = known.GetInt64("offset")
		for i, b := range known.GetArray("batch") {
			e, err := bus.Decode(b)
			if err != nil {
				return nil, &Error{"", fmt.Sprintf("known.batch[%d]", i), err.Error()}
			}
			c.KnownEvents = append(c.KnownEvents, e)
			c.LastOffset = max(c.LastOffset, e.Offset)
		}
	}
	return c, nil
}

// CheckAdminAddr returns an error if addr is not a valid address of the operators' HTTP server.
func CheckAdminAddr(addr string) error {
	if _, _, err := ops.SplitAddress(addr); err != nil {
		return fmt.Errorf("%q is not HOST:PORT: %v", addr, err)
	}
	return nil
}
