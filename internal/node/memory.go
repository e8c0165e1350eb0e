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

// A gatekeeper keeps what it has learned about its servers in a local file, never in the store: store records are replicated
// to every member, and gatekeepers share no load state.
const (
	memoryFile     = "learned"
	memoryInterval = time.Second
)

// memoryFile returns the path of the memory file: in the store's directory if there is one, else in $TMPDIR. A process that is
// started beside this one for a hand-over shares $TMPDIR; any other start finds it empty. Deployments that share a $TMPDIR use
// separate files, named by the gatekeeper's name, address and settings. It returns "" (no memory is kept) without a store
// directory if the name or $TMPDIR is missing, since the owner of the file could not be identified.
func (n *Node) memoryFile() string {
	switch tmp := os.Getenv("TMPDIR"); {
	case n.deploy.StoreDir != "":
		return filepath.Join(n.deploy.StoreDir, memoryFile)
	case tmp != "" && n.cfg.Name != "":
		owner := fmt.Sprintf("%016x", xxhash.Sum64String(n.cfg.Listen+" "+settingsHash(n.cfg.Site)))
		return filepath.Join(tmp, "beammux-"+url.PathEscape(n.cfg.Name)+"-"+owner+"-"+memoryFile)
	}
	return ""
}

// settingsHash returns an identifier of the settings under which the memory was learned. It covers every field, including the
// names of classes.
func settingsHash(s *control.Site) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%+v", *s)))
}

// recall passes the core what this gatekeeper had learned before its last shutdown, as far as that is still valid.
func (n *Node) recall() {
	file := n.memoryFile()
	if file == "" {
		return
	}
	memory, err := readMemory(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		n.log.WithError(err).Warn("memory can't be read: started without it")
	}
	now := n.core.Now()
	learned, doubt, ok := warm.Restore(memory, now, settingsHash(n.cfg.Site))
	if !ok {
		if memory != nil {
			n.log.WithField("why", doubt).Info("started without the memory")
		}
		return
	}
	n.core.Recall(learned)
	n.log.WithFields(logrus.Fields{"age_ms": (now - memory.Learned.At) / 1000, "servers": len(learned.Servers), "doubt": doubt}).Info("started warm")
}

// remember writes what the core has learned to the memory file at every interval until ctx is done. No call waits for it.
func (n *Node) remember(ctx context.Context) {
	file := n.memoryFile()
	if file == "" {
		return
	}
	name := settingsHash(n.cfg.Site)
	failed := false
	tick := time.NewTicker(memoryInterval)
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

// writeMemory replaces the file atomically: a line with the checksum, then JSON. The file is not synced, since its content is
// valid only for seconds. During a hand-over two processes may write at the same time, so each writes a temporary file of its
// own and renames it.
func writeMemory(file string, m *warm.SavedState) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	text = append(fmt.Appendf(nil, "%016x\n", xxhash.Sum64(text)), text...)
	tempFile := fmt.Sprintf("%s.new%d", file, os.Getpid())
	if err := os.WriteFile(tempFile, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tempFile, file)
}

// readMemory reads a file that writeMemory wrote, and checks its checksum.
func readMemory(file string) (*warm.SavedState, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	checksum, text, _ := bytes.Cut(text, []byte("\n"))
	if string(checksum) != fmt.Sprintf("%016x", xxhash.Sum64(text)) {
		return nil, fmt.Errorf("%s: its checksum is wrong", file)
	}
	m := &warm.SavedState{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return m, nil
}
