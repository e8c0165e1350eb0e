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

// backupVersion is the version of the backup format.
const backupVersion = 1

// Backup is the content of a backup file. The file has a first line with a checksum (XXH64, 16 hex digits), followed by the
// Backup as JSON.
type Backup struct {
	Version int    `json:"version"`
	Node    string `json:"node"`    // the member that was read
	Applied uint64 `json:"applied"` // raft index of the last entry in the backup
	// Revision is the higher of the newest record's revision and the member's revision when it was read. It is 0 in a backup
	// of an earlier version.
	Revision uint64   `json:"revision,omitempty"`
	Records  []Record `json:"records"`
}

// BackupFrom reads all records from the member at an address.
func BackupFrom(ctx context.Context, addr string) (*Backup, error) {
	s, err := StatusFrom(ctx, addr)
	if err != nil {
		return nil, err
	}
	records, err := ListFrom(ctx, addr, "")
	b := &Backup{Version: backupVersion, Node: s.Node, Applied: s.Applied, Revision: s.Revision, Records: records}
	for _, r := range records { // some may have been written after the status was read
		b.Revision = max(b.Revision, r.Revision)
	}
	return b, err
}

// Write writes the backup to a file atomically: it syncs a temporary file and renames it.
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

// ReadBackup reads a backup file and verifies its checksum and version.
func ReadBackup(file string) (*Backup, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	sum, text, _ := bytes.Cut(text, []byte("\n"))
	if string(sum) != fmt.Sprintf("%016x", xxhash.Sum64(text)) {
		return nil, fmt.Errorf("%s: checksum mismatch: not a backup file, or a damaged one", file)
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

// restorePartSize limits the bytes of keys and values in one transaction of a restore. Encoded as base64 they take a third more.
const restorePartSize = maxCommand / 2

// RestoreMargin is the distance from the highest revision of the backup and of the group to the revision of the restored
// group, because gatekeepers may hold changes that were written after the backup was taken.
const RestoreMargin = 1 << 20

// RestoreOptions configures Backup.Restore.
type RestoreOptions struct {
	Over bool // overwrite records that the group holds; otherwise those are kept
	// KeepRevisions leaves the group's revisions unchanged. Use it only for a group that kept running: clients of an earlier
	// group would reject the lower revisions of a recreated one, or would miss records.
	KeepRevisions bool
}

// Restored is the result of a restore.
type Restored struct {
	Written  int    `json:"written"`  // records written
	Kept     int    `json:"kept"`     // records that the group held and that were kept
	Revision uint64 `json:"revision"` // revision to which the group was raised; 0: not raised
}

// Restore writes the records of a backup into a running group through any member, in one transaction if they fit, otherwise
// in several in key order. Then it raises the group's revisions above those of the backup, so that clients of the lost group
// accept the restored records: all of them at one revision, and none before that.
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

// parts splits the records into transactions of at most restorePartSize bytes each, or of one record.
func (b *Backup) parts() (parts [][]Record) {
	from, size := 0, 0
	for i, r := range b.Records {
		bytes := len(r.Key) + len(r.Value)
		if size+bytes > restorePartSize && i > from {
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

// restoreRecords writes records in one transaction. Without over it writes only those that the group does not hold.
func restoreRecords(ctx context.Context, addr string, records []Record, over bool) (written int, err error) {
	for {
		writes, err := restoreWrites(ctx, addr, records, over)
		if err != nil || len(writes) == 0 {
			return 0, err
		}
		_, err = TransactTo(ctx, addr, writes)
		if !errors.Is(err, ErrRevision) { // on ErrRevision, another client has written one of them: list again
			return len(writes), err
		}
	}
}

// restoreWrites returns the writes that restore records into the group in its current state.
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

// highest returns the highest revision in the backup. Backups of earlier versions have only the revisions of the records.
func (b *Backup) highest() uint64 {
	highest := b.Revision
	for _, r := range b.Records {
		highest = max(highest, r.Revision)
	}
	return highest
}
