package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"beammux/internal/store"
)

type storeCmd struct {
	Status  storeStatusCmd  `cmd:"" help:"Show the state of a member and the members of the group."`
	Get     storeGetCmd     `cmd:"" help:"Print a record's value."`
	List    storeListCmd    `cmd:"" help:"List records."`
	Put     storePutCmd     `cmd:"" help:"Write a record from a file."`
	Apply   storeApplyCmd   `cmd:"" help:"Write and delete several records in one transaction: all or none, at one revision."`
	Member  storeMemberCmd  `cmd:"" help:"List or change the members of a running group, one at a time."`
	Watch   storeWatchCmd   `cmd:"" help:"Print changes as they are committed."`
	Backup  storeBackupCmd  `cmd:"" help:"Write all records of a running group to a file."`
	Restore storeRestoreCmd `cmd:"" help:"Write the records of a backup into a running group, and raise its revisions above the backup's."`
	Raise   storeRaiseCmd   `cmd:"" help:"Raise the revisions of a recreated group above those that its clients hold."`
	Verify  storeVerifyCmd  `cmd:"" help:"Read a member's files and report whether they are intact; nothing is changed."`
	Dump    storeDumpCmd    `cmd:"" help:"Print the records in a member's files."`
}

// Exit codes of the store commands, besides 0 for success, 1 for any other error and 2 for wrong usage.
const (
	exitNotFound = 3
	exitRevision = 4
	exitNoAnswer = 5 // no member answers, or the group has no leader
	exitNotReady = 6 // the member has not replayed its log or caught up with a leader within --timeout
)

// memberFlags holds the flags of commands that send requests to a running member.
type memberFlags struct {
	Store   string        `help:"Address of any member of the store." required:""`
	Timeout time.Duration `help:"How long to wait for an answer, including the time until the member is ready." default:"5s"`
	JSON    bool          `help:"Print JSON."`
}

// request calls f with the time-out of the command and attaches exit codes to its errors.
func (m memberFlags) request(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), m.Timeout)
	defer cancel()
	err := f(ctx)
	code := 0
	var refused *store.Refused
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused): // its lines name the errors in the records
		return refused
	case errors.Is(err, store.ErrNotFound):
		code = exitNotFound
	case errors.Is(err, store.ErrRevision):
		code = exitRevision
	case errors.Is(err, store.ErrNotReady):
		code = exitNotReady
	default:
		code = exitNoAnswer
	}
	return withExitCode(fmt.Errorf("%s: %w", m.Store, err), code)
}

type storeStatusCmd struct{ memberFlags }

func (c storeStatusCmd) Run() error {
	return c.request(func(ctx context.Context) error {
		status, err := store.StatusFrom(ctx, c.Store)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(status)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		leader := "none"
		if status.Leader != "" {
			leader = fmt.Sprintf("%s at %s", status.LeaderNode, status.Leader)
		}
		ready := "yes"
		if !status.Ready {
			ready = "no: the member has not replayed its log or caught up with a leader"
		}
		fmt.Fprintf(w, "member\t%s, %s\nleader\t%s\nready\t%s\nterm\t%d\nrecords\t%d\napplied\t%d of %d\nsnapshot\tto %d\n", status.Node,
			strings.ToLower(status.State), leader, ready, status.Term, status.Records, status.Applied, status.LastLogIndex, status.SnapshotIndex)
		fmt.Fprintf(w, "revision\t%d\n", status.Revision)
		if status.MaxClientRevision > 0 {
			fmt.Fprintf(w, "held by a client\t%d: this group was recreated; raise its revisions above that (beammux store raise %d)\n", status.MaxClientRevision, status.MaxClientRevision)
		}
		if status.SinceLeaderContact > 0 {
			fmt.Fprintf(w, "last word from the leader\t%d ms ago\n", status.SinceLeaderContact.Milliseconds())
		}
		for _, m := range status.Members {
			role := "learner"
			if m.Voter {
				role = "voter"
			}
			fmt.Fprintf(w, "%s\t%s at %s\n", role, m.Node, m.Address)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if status.Leader == "" {
			return errors.New("the group has no leader: nothing can be written")
		}
		return nil
	})
}

type storeGetCmd struct {
	Key string `arg:"" help:"Key of the record."`
	memberFlags
}

func (c storeGetCmd) Run() error {
	return c.request(func(ctx context.Context) error {
		r, err := store.GetFrom(ctx, c.Store, c.Key)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(r)
		}
		_, err = os.Stdout.Write(r.Value)
		return err
	})
}

type storeListCmd struct {
	Prefix string `arg:"" optional:"" help:"Prefix of the keys."`
	memberFlags
}

func (c storeListCmd) Run() error {
	return c.request(func(ctx context.Context) error {
		records, err := store.ListFrom(ctx, c.Store, c.Prefix)
		if err != nil {
			return err
		}
		return printRecords(records, c.JSON)
	})
}

// printRecords prints records as JSON with their values, or as a table with the sizes of the values.
func printRecords(records []store.Record, asJSON bool) error {
	if asJSON {
		return printJSON(append([]store.Record{}, records...))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, r := range records {
		fmt.Fprintf(w, "%s\trevision %d\t%d bytes\n", printable(r.Key), r.Revision, len(r.Value))
	}
	return w.Flush()
}

type storePutCmd struct {
	Key  string  `arg:"" help:"Key of the record."`
	File string  `arg:"" help:"File with the value; - for standard input."`
	At   *uint64 `help:"Write only if the record has this revision; 0: only if there is none."`
	memberFlags
}

func (c storePutCmd) Run() error {
	value, err := recordValue(c.Key, c.File)
	if err != nil {
		return err
	}
	return c.request(func(ctx context.Context) error {
		revision, err := store.PutTo(ctx, c.Store, c.Key, value, c.At)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(map[string]any{"key": c.Key, "revision": revision})
		}
		fmt.Printf("%s: written, revision %d\n", c.Key, revision)
		return nil
	})
}

type storeWatchCmd struct {
	Prefix string `arg:"" optional:"" help:"Prefix of the keys."`
	Store  string `help:"Address of any member of the store." required:""`
	JSON   bool   `help:"Print one JSON object per line."`
}

func (c storeWatchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := store.WatchFrom(ctx, c.Store, c.Prefix, func(r store.Record) {
		if c.JSON {
			printJSONLine(r)
			return
		}
		change := strconv.Itoa(len(r.Value)) + " bytes"
		if r.Value == nil {
			change = "deleted"
		}
		fmt.Printf("%s  revision %d  %s\n", printable(r.Key), r.Revision, change)
	})
	if ctx.Err() != nil { // stopped by a signal
		return nil
	}
	return withExitCode(fmt.Errorf("%s: %w", c.Store, err), exitNoAnswer)
}

type storeVerifyCmd struct {
	Dir  string `arg:"" help:"Directory of a member's store (store.dir)."`
	JSON bool   `help:"Print JSON."`
}

func (c storeVerifyCmd) Run() error {
	contents, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(contents)
	}
	fmt.Printf("%s: whole: %d records; log entries %d to %d in %d segments, %d bytes; snapshots: %d, the newest up to entry %d\n", c.Dir,
		len(contents.Records), contents.Log.First, contents.Log.Last, contents.Log.Segments, contents.Log.Bytes, contents.Snapshots, contents.Snapshot)
	if contents.Log.Torn > 0 {
		fmt.Printf("%d bytes of an incomplete last write will be cut off at the next start; they had not been acknowledged as durable\n", contents.Log.Torn)
	}
	return nil
}

type storeDumpCmd struct {
	Dir  string `arg:"" help:"Directory of a member's store (store.dir)."`
	JSON bool   `help:"Print JSON, with the values."`
}

func (c storeDumpCmd) Run() error {
	contents, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	return printRecords(contents.Records, c.JSON)
}

type storeMemberCmd struct {
	List    memberListCmd    `cmd:"" help:"List the members."`
	Add     memberAddCmd     `cmd:"" help:"Add a member as a learner, or move a member that is down to another address."`
	Promote memberPromoteCmd `cmd:"" help:"Make a learner a voter once it has caught up with the others."`
	Remove  memberRemoveCmd  `cmd:"" help:"Remove a member."`
}

type memberListCmd struct{ memberFlags }

func (c memberListCmd) Run() error {
	return c.request(func(ctx context.Context) error {
		status, err := store.StatusFrom(ctx, c.Store)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(status.Members)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		for _, m := range status.Members {
			role := "learner"
			if m.Voter {
				role = "voter"
			}
			if m.Node == status.LeaderNode {
				role += ", leads"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", m.Node, m.Address, role)
		}
		return w.Flush()
	})
}

type memberAddCmd struct {
	Node    string `arg:"" help:"Name of the member."`
	Address string `arg:"" help:"Address where it listens for the others."`
	memberFlags
}

func (c memberAddCmd) Run() error {
	return c.changeMembers(store.MemberChange{Do: store.MemberAdd, Node: c.Node, Address: c.Address})
}

type memberPromoteCmd struct {
	Node string `arg:"" help:"Name of the member."`
	memberFlags
}

func (c memberPromoteCmd) Run() error {
	return c.changeMembers(store.MemberChange{Do: store.MemberPromote, Node: c.Node})
}

type memberRemoveCmd struct {
	Node  string `arg:"" help:"Name of the member."`
	Force bool   `help:"Remove it even if too few voters remain to write."`
	memberFlags
}

func (c memberRemoveCmd) Run() error {
	return c.changeMembers(store.MemberChange{Do: store.MemberRemove, Node: c.Node, Force: c.Force})
}

// changeMembers requests a change of the members and prints the result. A refused change is an ordinary error with exit code 1.
func (m memberFlags) changeMembers(c store.MemberChange) error {
	refused := error(nil)
	err := m.request(func(ctx context.Context) error {
		result, err := store.ChangeMemberAt(ctx, m.Store, c)
		var network net.Error
		if err != nil && !errors.As(err, &network) && !strings.Contains(err.Error(), store.ErrNoLeader.Error()) {
			refused = fmt.Errorf("%s: not changed: %w", c.Node, err)
			return nil
		}
		if err != nil {
			return err
		}
		if m.JSON {
			return printJSON(map[string]string{"node": c.Node, "done": result})
		}
		fmt.Printf("%s: %s\n", c.Node, map[string]string{"nothing": "nothing to change", "add": "joined as a learner", "move": "moved to " + c.Address,
			"promote": "is a voter now", "remove": "is no longer a member"}[result])
		return nil
	})
	if refused != nil {
		return refused
	}
	return err
}

type storeBackupCmd struct {
	File string `arg:"" help:"File to write."`
	memberFlags
}

func (c storeBackupCmd) Run() error {
	return c.request(func(ctx context.Context) error {
		backup, err := store.BackupFrom(ctx, c.Store)
		if err != nil {
			return err
		}
		if err := backup.Write(c.File); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(map[string]any{"file": c.File, "records": len(backup.Records), "applied": backup.Applied})
		}
		fmt.Printf("%s: %d records, up to entry %d\n", c.File, len(backup.Records), backup.Applied)
		return nil
	})
}

type storeRestoreCmd struct {
	File string `arg:"" help:"Backup file."`
	Over bool   `help:"Also overwrite records that the group holds; by default those stay."`
	Keep bool   `name:"keep-revisions" help:"Do not raise the revisions, for a group that has been running since the backup."`
	memberFlags
}

func (c storeRestoreCmd) Run() error {
	backup, err := store.ReadBackup(c.File) // a damaged backup is never written to the store
	if err != nil {
		return err
	}
	return c.request(func(ctx context.Context) error {
		restored, err := backup.Restore(ctx, c.Store, store.RestoreOptions{Over: c.Over, KeepRevisions: c.Keep})
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(struct {
				File string `json:"file"`
				store.Restored
			}{c.File, restored})
		}
		fmt.Printf("%s: %d records written, %d left unchanged%s\n", c.File, restored.Written, restored.Kept, describeRaise(restored.Revision))
		return nil
	})
}

// describeRaise describes the revision that a group was raised to. It returns "" for 0: not raised.
func describeRaise(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return fmt.Sprintf("; revisions continue from %d", revision)
}

type storeRaiseCmd struct {
	Above uint64 `arg:"" help:"The highest revision that a client holds (see fleet view, or store status)."`
	memberFlags
}

func (c storeRaiseCmd) Run() error {
	return c.request(func(ctx context.Context) error {
		revision, err := store.RaiseTo(ctx, c.Store, c.Above)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(map[string]uint64{"revision": revision})
		}
		fmt.Printf("the group is at revision %d\n", revision)
		return nil
	})
}
