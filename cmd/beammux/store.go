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
	Status  storeStatusCmd  `cmd:"" help:"How a member stands, and who the members are."`
	Get     storeGetCmd     `cmd:"" help:"Print a record's value."`
	List    storeListCmd    `cmd:"" help:"List records."`
	Put     storePutCmd     `cmd:"" help:"Write a record from a file."`
	Apply   storeApplyCmd   `cmd:"" help:"Write and delete several records in one transaction: all or none, at one revision."`
	Member  storeMemberCmd  `cmd:"" help:"Change the members of a running group, one at a time."`
	Watch   storeWatchCmd   `cmd:"" help:"Print changes as they are committed."`
	Backup  storeBackupCmd  `cmd:"" help:"Write all records of a running group to a file."`
	Restore storeRestoreCmd `cmd:"" help:"Write the records of a backup into a running group, and raise its revisions above the backup's."`
	Raise   storeRaiseCmd   `cmd:"" help:"Lift the revisions of a group that was made anew above what its clients hold."`
	Verify  storeVerifyCmd  `cmd:"" help:"Read a member's files and say whether they are whole; nothing is changed."`
	Dump    storeDumpCmd    `cmd:"" help:"Print the records in a member's files."`
}

// Exit codes of the store commands, beside 0, 1 for any other fault and 2 for a wrong call.
const (
	exitNotFound = 3
	exitRevision = 4
	exitNoAnswer = 5 // nobody answers, or the group has no leader
	exitNotReady = 6 // the member has not replayed its log or caught up with a leader within --timeout
)

// member is what commands that ask a running member have in common.
type member struct {
	Store   string        `help:"Address of any member of the store." required:""`
	Timeout time.Duration `help:"How long to wait for an answer, also for a member that is not ready yet." default:"5s"`
	JSON    bool          `help:"Print JSON."`
}

// ask runs a command with its time-out, and gives its errors their exit codes.
func (m member) ask(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), m.Timeout)
	defer cancel()
	err := f(ctx)
	code := 0
	var refused *store.Refused
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused): // its lines name what is at fault
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
	return fault(fmt.Errorf("%s: %w", m.Store, err), code)
}

type storeStatusCmd struct{ member }

func (c storeStatusCmd) Run() error {
	return c.ask(func(ctx context.Context) error {
		s, err := store.StatusFrom(ctx, c.Store)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(s)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		leader := "none"
		if s.Leader != "" {
			leader = fmt.Sprintf("%s at %s", s.LeaderNode, s.Leader)
		}
		ready := "yes"
		if !s.Ready {
			ready = "no: it has not replayed its log or caught up with a leader"
		}
		fmt.Fprintf(w, "member\t%s, %s\nleader\t%s\nready\t%s\nterm\t%d\nrecords\t%d\napplied\t%d of %d\nsnapshot\tto %d\n", s.Node,
			strings.ToLower(s.State), leader, ready, s.Term, s.Records, s.Applied, s.LastLogIndex, s.SnapshotIndex)
		fmt.Fprintf(w, "revision\t%d\n", s.Revision)
		if s.MaxClientRevision > 0 {
			fmt.Fprintf(w, "held by a client\t%d: this group was made anew; lift it above that (beammux store raise %d)\n", s.MaxClientRevision, s.MaxClientRevision)
		}
		if s.SinceLeaderContact > 0 {
			fmt.Fprintf(w, "last word from the leader\t%d ms ago\n", s.SinceLeaderContact.Milliseconds())
		}
		for _, m := range s.Members {
			role := "learner"
			if m.Voter {
				role = "voter"
			}
			fmt.Fprintf(w, "%s\t%s at %s\n", role, m.Node, m.Address)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if s.Leader == "" {
			return errors.New("the group has no leader: nothing can be written")
		}
		return nil
	})
}

type storeGetCmd struct {
	Key string `arg:"" help:"Key of the record."`
	member
}

func (c storeGetCmd) Run() error {
	return c.ask(func(ctx context.Context) error {
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
	Prefix string `arg:"" optional:"" help:"Beginning of the keys."`
	member
}

func (c storeListCmd) Run() error {
	return c.ask(func(ctx context.Context) error {
		records, err := store.ListFrom(ctx, c.Store, c.Prefix)
		if err != nil {
			return err
		}
		return printRecords(records, c.JSON)
	})
}

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
	At   *uint64 `help:"Write only if the record is at this revision; 0: only if there is none."`
	member
}

func (c storePutCmd) Run() error {
	value, err := recordValue(c.Key, c.File)
	if err != nil {
		return err
	}
	return c.ask(func(ctx context.Context) error {
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
	Prefix string `arg:"" optional:"" help:"Beginning of the keys."`
	Store  string `help:"Address of any member of the store." required:""`
	JSON   bool   `help:"Print a JSON object a line."`
}

func (c storeWatchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := store.WatchFrom(ctx, c.Store, c.Prefix, func(r store.Record) {
		if c.JSON {
			printLine(r)
			return
		}
		what := strconv.Itoa(len(r.Value)) + " bytes"
		if r.Value == nil {
			what = "deleted"
		}
		fmt.Printf("%s  revision %d  %s\n", printable(r.Key), r.Revision, what)
	})
	if ctx.Err() != nil { // it was told to stop
		return nil
	}
	return fault(fmt.Errorf("%s: %w", c.Store, err), exitNoAnswer)
}

type storeVerifyCmd struct {
	Dir  string `arg:"" help:"Folder of a member's store (store.dir)."`
	JSON bool   `help:"Print JSON."`
}

func (c storeVerifyCmd) Run() error {
	h, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(h)
	}
	fmt.Printf("%s: whole: %d records; log entries %d to %d in %d segments, %d bytes; snapshots: %d, the newest up to entry %d\n", c.Dir,
		len(h.Records), h.Log.First, h.Log.Last, h.Log.Segments, h.Log.Bytes, h.Snapshots, h.Snapshot)
	if h.Log.Torn > 0 {
		fmt.Printf("%d bytes of a torn end will be cut off at the next start; they had not been acknowledged as safe\n", h.Log.Torn)
	}
	return nil
}

type storeDumpCmd struct {
	Dir  string `arg:"" help:"Folder of a member's store (store.dir)."`
	JSON bool   `help:"Print JSON, with the values."`
}

func (c storeDumpCmd) Run() error {
	h, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	return printRecords(h.Records, c.JSON)
}

type storeMemberCmd struct {
	List    memberListCmd    `cmd:"" help:"List the members."`
	Add     memberAddCmd     `cmd:"" help:"Let a member join as a learner, or move to another address while it is down."`
	Promote memberPromoteCmd `cmd:"" help:"Give a learner its vote once it has what the others have."`
	Remove  memberRemoveCmd  `cmd:"" help:"Take a member out."`
}

type memberListCmd struct{ member }

func (c memberListCmd) Run() error {
	return c.ask(func(ctx context.Context) error {
		s, err := store.StatusFrom(ctx, c.Store)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(s.Members)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		for _, m := range s.Members {
			role := "learner"
			if m.Voter {
				role = "voter"
			}
			if m.Node == s.LeaderNode {
				role += ", leads"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", m.Node, m.Address, role)
		}
		return w.Flush()
	})
}

type memberAddCmd struct {
	Node    string `arg:"" help:"Name of the member."`
	Address string `arg:"" help:"Where it listens for the others."`
	member
}

func (c memberAddCmd) Run() error {
	return c.change(store.MemberChange{Do: store.MemberAdd, Node: c.Node, Address: c.Address})
}

type memberPromoteCmd struct {
	Node string `arg:"" help:"Name of the member."`
	member
}

func (c memberPromoteCmd) Run() error {
	return c.change(store.MemberChange{Do: store.MemberPromote, Node: c.Node})
}

type memberRemoveCmd struct {
	Node  string `arg:"" help:"Name of the member."`
	Force bool   `help:"Also where too few voters are left to write."`
	member
}

func (c memberRemoveCmd) Run() error {
	return c.change(store.MemberChange{Do: store.MemberRemove, Node: c.Node, Force: c.Force})
}

// change asks for a change. One that is refused is an ordinary fault, exit 1.
func (m member) change(c store.MemberChange) error {
	refused := error(nil)
	err := m.ask(func(ctx context.Context) error {
		done, err := store.ChangeMemberAt(ctx, m.Store, c)
		var network net.Error
		if err != nil && !errors.As(err, &network) && !strings.Contains(err.Error(), store.ErrNoLeader.Error()) {
			refused = fmt.Errorf("%s: not done: %w", c.Node, err)
			return nil
		}
		if err != nil {
			return err
		}
		if m.JSON {
			return printJSON(map[string]string{"node": c.Node, "done": done})
		}
		fmt.Printf("%s: %s\n", c.Node, map[string]string{"nothing": "is so already", "add": "joined as a learner", "move": "moved to " + c.Address,
			"promote": "votes now", "remove": "is no member any more"}[done])
		return nil
	})
	if refused != nil {
		return refused
	}
	return err
}

type storeBackupCmd struct {
	File string `arg:"" help:"File to write."`
	member
}

func (c storeBackupCmd) Run() error {
	return c.ask(func(ctx context.Context) error {
		b, err := store.BackupFrom(ctx, c.Store)
		if err != nil {
			return err
		}
		if err := b.Write(c.File); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(map[string]any{"file": c.File, "records": len(b.Records), "applied": b.Applied})
		}
		fmt.Printf("%s: %d records, up to entry %d\n", c.File, len(b.Records), b.Applied)
		return nil
	})
}

type storeRestoreCmd struct {
	File string `arg:"" help:"Backup."`
	Over bool   `help:"Also write over records that the group holds; else those stay."`
	Keep bool   `name:"keep-revisions" help:"Do not raise the revisions: the group has lived on since the backup."`
	member
}

func (c storeRestoreCmd) Run() error {
	b, err := store.ReadBackup(c.File) // a bad one never reaches the store
	if err != nil {
		return err
	}
	return c.ask(func(ctx context.Context) error {
		done, err := b.Restore(ctx, c.Store, store.RestoreOptions{Over: c.Over, KeepRevisions: c.Keep})
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(struct {
				File string `json:"file"`
				store.Restored
			}{c.File, done})
		}
		fmt.Printf("%s: %d records written, %d left as they are%s\n", c.File, done.Written, done.Kept, raisedTo(done.Revision))
		return nil
	})
}

// raisedTo says to which revision a group was raised, if it was.
func raisedTo(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return fmt.Sprintf("; revisions go on from %d", revision)
}

type storeRaiseCmd struct {
	Above uint64 `arg:"" help:"Revision: the highest that a client holds (fleet view, or store status)."`
	member
}

func (c storeRaiseCmd) Run() error {
	return c.ask(func(ctx context.Context) error {
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
