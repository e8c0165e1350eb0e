package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"beammux/control"
	"beammux/control/warm"
)

// What a gatekeeper has learned is kept in a file of its own beside the store, and never in the store: its records go to
// every member, and gatekeepers share nothing of load.
const (
	memoryFile  = "learned"
	memoryEvery = time.Second
)

// memoryFile is where the memory is kept: beside the store, else in $TMPDIR, which a process that is started beside this
// one for a hand-over shares (DAYS, replacing the process) and any other start finds empty. Where several deployments share
// $TMPDIR, each has a file of its own, by name, address and settings. "" is nowhere: without a name or $TMPDIR nothing says
// whose memory it would be.
func (n *Node) memoryFile() string {
	switch tmp := os.Getenv("TMPDIR"); {
	case n.deploy.StoreDir != "":
		return filepath.Join(n.deploy.StoreDir, memoryFile)
	case tmp != "" && n.cfg.Name != "":
		whose := fmt.Sprintf("%016x", xxhash.Sum64String(n.cfg.Listen+" "+settingsName(n.cfg.Site)))
		return filepath.Join(tmp, "beammux-"+url.PathEscape(n.cfg.Name)+"-"+whose+"-"+memoryFile)
	}
	return ""
}

// settingsName names the settings that something was learned under, names of classes and the like included.
func settingsName(s *control.Site) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%+v", *s)))
}

// recall gives the module what this gatekeeper had learned before it ended, as far as it still counts.
func (n *Node) recall() {
	file := n.memoryFile()
	if file == "" {
		return
	}
	m, err := readMemory(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		n.log.WithError(err).Warn("memory can't be read: started without")
	}
	now := n.core.Now()
	l, doubt, ok := warm.Restore(m, now, settingsName(n.cfg.Site))
	if !ok {
		if m != nil {
			n.log.WithField("why", doubt).Info("started without the memory")
		}
		return
	}
	n.core.Recall(l)
	n.log.WithFields(logrus.Fields{"age_ms": (now - m.Learned.At) / 1000, "servers": len(l.Servers), "doubt": doubt}).Info("started warm")
}

// remember writes what the module has learned now and then, never on a call's way, and a last time at the end.
func (n *Node) remember(ctx context.Context) {
	file := n.memoryFile()
	if file == "" {
		return
	}
	name := settingsName(n.cfg.Site)
	failed := false
	tick := time.NewTicker(memoryEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		learned := make(chan control.Learned, 1)
		n.core.Learned(func(l control.Learned) { learned <- l })
		select {
		case l := <-learned:
			err := writeMemory(file, &warm.SavedState{Settings: name, Learned: l})
			if err != nil && !failed {
				n.log.WithError(err).Warn("memory can't be written")
			}
			failed = err != nil
		case <-ctx.Done():
			return
		}
	}
}

// writeMemory replaces the file whole: its checksum in a line, then JSON. It is not synced, since it counts for seconds.
// Two processes may write at the same time during a hand-over: each has a new file of its own until it is renamed.
func writeMemory(file string, m *warm.SavedState) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	text = append(fmt.Appendf(nil, "%016x\n", xxhash.Sum64(text)), text...)
	fresh := fmt.Sprintf("%s.new%d", file, os.Getpid())
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, file)
}

func readMemory(file string) (*warm.SavedState, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	sum, text, _ := bytes.Cut(text, []byte("\n"))
	if string(sum) != fmt.Sprintf("%016x", xxhash.Sum64(text)) {
		return nil, fmt.Errorf("%s: its checksum is wrong", file)
	}
	m := &warm.SavedState{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return m, nil
}
