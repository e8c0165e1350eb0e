package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

const backupVersion = 1

// Backup is what a backup file holds: a line with its checksum (XXH64, 16 hex digits), then this as JSON.
type Backup struct {
	Version int    `json:"version"`
	Node    string `json:"node"`    // that was asked
	Applied uint64 `json:"applied"` // index of the last entry in it
	// Revision is that of the newest record in it, or of the member when it was asked. 0 in a backup of an earlier version.
	Revision uint64   `json:"revision,omitempty"`
	Records  []Record `json:"records"`
}

// BackupFrom asks a member for all records.
func BackupFrom(ctx context.Context, addr string) (*Backup, error) {
	s, err := StatusFrom(ctx, addr)
	if err != nil {
		return nil, err
	}
	records, err := ListFrom(ctx, addr, "")
	b := &Backup{Version: backupVersion, Node: s.Node, Applied: s.Applied, Revision: s.Revision, Records: records}
	for _, r := range records { // that were written after the status
		b.Revision = max(b.Revision, r.Revision)
	}
	return b, err
}

// Write writes a backup whole or not at all, synced.
func (b *Backup) Write(file string) error {
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(file), ".backup-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(append(fmt.Appendf(nil, "%016x\n", xxhash.Sum64(text)), text...))
	if e := f.Sync(); err == nil {
		err = e
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), file)
}

// ReadBackup reads a backup and checks it.
func ReadBackup(file string) (*Backup, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	sum, text, _ := bytes.Cut(text, []byte("\n"))
	if string(sum) != fmt.Sprintf("%016x", xxhash.Sum64(text)) {
		return nil, fmt.Errorf("%s: its checksum is wrong: not a backup, or a damaged one", file)
	}
	b := &Backup{}
	if err := json.Unmarshal(text, b); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if b.Version != backupVersion {
		return nil, fmt.Errorf("%s: backup of version %d, this program reads version %d", file, b.Version, backupVersion)
	}
	return b, nil
}

// restorePart bounds the bytes of keys and values in one transaction of a restore. As text they take a third more.
const restorePart = maxCommand / 2

// RestoreMargin is how far above the revisions of a backup, and of the group, those of a restored group are: gatekeepers may
// hold changes that were written after the backup was taken.
const RestoreMargin = 1 << 20

// RestoreOptions say how a backup is restored.
type RestoreOptions struct {
	Over bool // also write over records that the group holds; else those stay
	// KeepRevisions leaves the group's revisions as they are. It is for a group that has lived on; in one that was made anew
	// clients would take nothing from it, or would miss records.
	KeepRevisions bool
}

// Restored is what a restore did.
type Restored struct {
	Written  int    `json:"written"`  // records
	Kept     int    `json:"kept"`     // records that the group held and that were left alone
	Revision uint64 `json:"revision"` // to which the group was raised; 0: it was not
}

// Restore writes the records of a backup into a running group through any member, in one transaction if they fit, else in
// several in the order of their keys. Then it raises the group's revisions above those of the backup, so that clients that
// have followed a group that is gone take the restored records, all at one revision, and none before.
func (b *Backup) Restore(ctx context.Context, addr string, o RestoreOptions) (done Restored, err error) {
	for _, part := range b.parts() {
		written, err := restoreRecords(ctx, addr, part, o.Over)
		done.Written += written
		done.Kept += len(part) - written
		if err != nil {
			return done, err
		}
	}
	if o.KeepRevisions {
		return done, nil
	}
	s, err := StatusFrom(ctx, addr)
	if err != nil {
		return done, err
	}
	done.Revision, err = RaiseTo(ctx, addr, max(b.highest(), s.Revision)+RestoreMargin)
	return done, err
}

// parts splits the records into transactions.
func (b *Backup) parts() (parts [][]Record) {
	from, size := 0, 0
	for i, r := range b.Records {
		bytes := len(r.Key) + len(r.Value)
		if size+bytes > restorePart && i > from {
			parts = append(parts, b.Records[from:i])
			from, size = i, 0
		}
		size += bytes
	}
	if from < len(b.Records) {
		parts = append(parts, b.Records[from:])
	}
	return parts
}

// restoreRecords writes records, all or none; without over those alone that the group does not hold.
func restoreRecords(ctx context.Context, addr string, records []Record, over bool) (written int, err error) {
	for {
		writes, err := restoreWrites(ctx, addr, records, over)
		if err != nil || len(writes) == 0 {
			return 0, err
		}
		_, err = TransactTo(ctx, addr, writes)
		if !errors.Is(err, ErrRevision) { // else somebody wrote one of them meanwhile
			return len(writes), err
		}
	}
}

func restoreWrites(ctx context.Context, addr string, records []Record, over bool) (writes []Write, err error) {
	held := map[string]bool{}
	if !over {
		present, err := ListFrom(ctx, addr, "")
		if err != nil {
			return nil, err
		}
		for _, r := range present {
			held[r.Key] = true
		}
	}
	for _, r := range records {
		switch {
		case over:
			writes = append(writes, Write{Key: r.Key, Value: r.Value})
		case !held[r.Key]:
			writes = append(writes, Write{Key: r.Key, Value: r.Value, At: new(uint64)})
		}
	}
	return writes, nil
}

// highest is the highest revision that the backup knows of. Backups of earlier versions name that of each record alone.
func (b *Backup) highest() uint64 {
	highest := b.Revision
	for _, r := range b.Records {
		highest = max(highest, r.Revision)
	}
	return highest
}
