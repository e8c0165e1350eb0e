package store

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"beammux/internal/store/journal"
)

// Contents is the content of a member's files.
type Contents struct {
	Log       journal.Stats `json:"log"`
	Snapshots int           `json:"snapshots"`
	Snapshot  uint64        `json:"snapshot_index"` // index of the last entry in the newest snapshot
	Records   []Record      `json:"-"`              // after applying all log entries, including uncommitted ones
}

// Inspect reads a member's files without changing them. It must not be used on the folder of a running member. The error
// names the damaged file.
func Inspect(dir string) (*Contents, error) {
	if _, err := os.Stat(logDir(dir)); err != nil {
		return nil, fmt.Errorf("%s: no store: %w", dir, err)
	}
	h := &Contents{}
	m := newMachine()
	if err := h.restoreSnapshot(dir, m); err != nil {
		return nil, err
	}
	stats, logs, err := journal.Inspect(logDir(dir), nil)
	if err != nil {
		return nil, err
	}
	h.Log = stats
	if len(logs) > 0 && logs[0].Index > h.Snapshot+1 {
		return nil, &journal.DamageError{File: filepath.Join(dir, snapshotsName),
			Reason: fmt.Sprintf("entries %d to %d are neither in a snapshot nor in the log", h.Snapshot+1, logs[0].Index-1)}
	}
	for _, l := range logs {
		if l.Index > h.Snapshot && l.Type == raft.LogCommand {
			m.Apply(l)
		}
	}
	h.Records = m.list("")
	return h, nil
}

// restoreSnapshot restores the newest snapshot into a machine. Raft's own checksum is verified on reading.
func (h *Contents) restoreSnapshot(dir string, m *machine) error {
	if _, err := os.Stat(filepath.Join(dir, snapshotsName)); err != nil {
		return nil // no snapshots yet; listing them through raft would create the folder
	}
	s, err := raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, hclog.NewNullLogger())
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
		return &journal.DamageError{File: filepath.Join(dir, snapshotsName, list[0].ID), Reason: err.Error()}
	}
	return nil
}
