package store

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"beammux/internal/store/journal"
)

// Contents is what the files of a member hold.
type Contents struct {
	Log       journal.Stats `json:"log"`
	Snapshots int           `json:"snapshots"`
	Snapshot  uint64        `json:"snapshot_index"` // of the newest
	Records   []Record      `json:"-"`              // with every entry of the log applied, also those that were not committed yet
}

// Inspect reads a member's files and changes nothing. It must not be used on the folder of a running member. The error
// names the file that is at fault.
func Inspect(dir string) (*Contents, error) {
	if _, err := os.Stat(logDir(dir)); err != nil {
		return nil, fmt.Errorf("%s: no store: %w", dir, err)
	}
	h := &Contents{}
	m := newMachine()
	if err := h.snapshot(dir, m); err != nil {
		return nil, err
	}
	stats, logs, err := journal.Inspect(logDir(dir), nil)
	if err != nil {
		return nil, err
	}
	h.Log = stats
	if len(logs) > 0 && logs[0].Index > h.Snapshot+1 {
		return nil, &journal.DamageError{File: filepath.Join(dir, "snapshots"),
			What: fmt.Sprintf("entries %d to %d are neither in a snapshot nor in the log", h.Snapshot+1, logs[0].Index-1)}
	}
	for _, l := range logs {
		if l.Index > h.Snapshot && l.Type == raft.LogCommand {
			m.Apply(l)
		}
	}
	h.Records = m.list("")
	return h, nil
}

// snapshot reads the newest snapshot; raft's own checksum is checked on the way.
func (h *Contents) snapshot(dir string, m *machine) error {
	if _, err := os.Stat(filepath.Join(dir, "snapshots")); err != nil {
		return nil // none yet; asking raft for them would make the folder
	}
	s, err := raft.NewFileSnapshotStoreWithLogger(dir, snapshotsKept, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	list, err := s.List()
	if err != nil || len(list) == 0 {
		return err
	}
	h.Snapshots, h.Snapshot = len(list), list[0].Index
	_, in, err := s.Open(list[0].ID)
	if err == nil {
		err = m.Restore(in)
	}
	if err != nil {
		return &journal.DamageError{File: filepath.Join(dir, "snapshots", list[0].ID), What: err.Error()}
	}
	return nil
}
