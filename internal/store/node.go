package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"beammux/internal/store/journal"
)

const (
	defaultElectionTimeout = 400 * time.Millisecond // default of Options.Election
	applyTimeout           = 2 * time.Second        // timeout of a raft RPC, a connect, or the execution of a command
	retryInterval          = 30 * time.Millisecond  // wait before a retry, and poll interval for a change of the leader
	readyPollInterval      = 5 * time.Millisecond   // poll interval of WaitReady
	sniffTimeout           = time.Second            // timeout for the first byte of a connection
	maxCommand             = 4 << 20                // bytes of an encoded command
	maxAnswer              = 256 << 20              // bytes of an encoded answer
)

// Peer is one member of the group.
type Peer struct {
	Node, Address string
	NonVoter      bool // holds all records and serves reads, but has no vote; used only in the first configuration
}

// Options configures a node. Without Peers and Join the node forms a group of its own and opens no sockets.
type Options struct {
	Node     string
	Listener net.Listener // for peers and clients; required with Peers or Join
	Peers    []Peer       // all members; includes this node unless Join is set
	Join     bool         // this node joins a running group: it waits to be added and does not bootstrap a group
	Dir      string       // folder of the log and snapshots; "": in memory, lost if a majority of the members is lost
	Sync     string       // with Dir: SyncAlways (the default) or SyncInterval
	// DeferTakeOver leaves the files of a process that runs already, if there is one, to later starts until TakeOver is called.
	DeferTakeOver bool
	// Via maps the address of a member to the address at which this node reaches it, such as a forwarded port or a relay.
	// Other members are reached at their own address.
	Via map[string]string
	// Reducers maps the keys of records to the reducers that Reduce calls for them. All members of a group must have the same
	// reducers.
	Reducers map[string]Reducer
	// Check validates a client's put, put-at, delete or transaction at the member that the client is connected to, before
	// the write is committed. If it returns an error, the client gets a *Refused with the error's text and advice. Check is
	// not called for writes of this process itself, nor for writes that another member forwards after its own check.
	Check func(writes []Write) error
	// Serve makes this member a control machine, which serves watch sessions; nil: no sessions.
	Serve *ServeOptions
	// Election is the time without contact with the leader after which a voter starts an election; 0: 400 ms. It must be a
	// few times the round-trip time between members, and equal at all members.
	Election time.Duration
	Log      logrus.FieldLogger // receives raft's warnings and errors too
}

// Values of Options.Sync: when the log is synced to disk. Neither loses writes when a process is killed. When machines fail,
// SyncAlways loses no acknowledged write, and SyncInterval may lose the writes of the last 100 ms if a majority of the
// members' machines fails within that time. Votes and terms are always synced.
const (
	SyncAlways   = "always"
	SyncInterval = "interval"
)

const (
	syncPeriod            = 100 * time.Millisecond // interval of syncs to disk with SyncInterval
	retainedSnapshots     = 2
	snapshotThreshold     = 4096             // log entries since the last snapshot
	snapshotCheckInterval = 30 * time.Second // interval of the check for snapshotThreshold
	trailingLogs          = 1024             // log entries kept although a snapshot covers them, for members that lag slightly
)

// Node is a member of a group. It implements Store.
type Node struct {
	id          string
	raft        *raft.Raft
	fsm         *machine
	layer       *streamLayer
	transport   io.Closer        // raft's transport; Close closes it
	journal     *journal.Journal // nil if the log is in memory
	folder      *folder          // nil if the log is in memory
	via         map[string]string
	started     chan struct{} // closed once raft has started; connections may arrive earlier
	logs        raft.LogStore
	replayIndex uint64      // last index of the log when it was opened; Ready returns false until it is applied
	caughtUp    atomic.Bool // Ready has returned true once
	startedAt   time.Time   // origin of the timestamps of reduces

	check    func([]Write) error
	versions versionCheck   // which members support transactions; used by the leader
	sessions *sessionServer // nil if this member is not a control machine
	reduceMu sync.Mutex     // held while the leader timestamps and appends a reduce, so that timestamps increase with the index
}

// Open starts a node. It returns before the node has caught up with its group; see WaitReady.
func Open(o Options) (*Node, error) {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(o.Node)
	election := o.Election
	if election == 0 {
		election = defaultElectionTimeout
	}
	c.HeartbeatTimeout, c.ElectionTimeout = election, election
	c.LeaderLeaseTimeout = election / 2
	c.CommitTimeout = 10 * time.Millisecond
	c.ShutdownOnRemove = false
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Output: logWriter{o.Log}, Level: hclog.Warn, DisableTime: true})
	n := &Node{id: o.Node, fsm: newMachine(), via: o.Via, started: make(chan struct{}), startedAt: time.Now()}
	n.fsm.reducers, n.check = o.Reducers, o.Check
	if o.Serve != nil {
		n.sessions = newSessionServer(n, o.Serve.withDefaults())
		n.fsm.history = n.sessions.history
	}
	servers := []raft.Server{{ID: c.LocalID, Address: raft.ServerAddress(o.Node)}}
	nonVoter := false
	var transport raft.Transport
	if len(o.Peers) == 0 && !o.Join {
		_, mem := raft.NewInmemTransport(raft.ServerAddress(o.Node))
		transport, n.transport = mem, mem
	} else {
		if o.Listener == nil {
			return nil, errors.New("store: a node with peers or with Join needs a listener")
		}
		servers = nil
		listedOrJoining, advertised := o.Join, ""
		for _, p := range o.Peers {
			if p.Node == o.Node {
				listedOrJoining, advertised, nonVoter = true, p.Address, p.NonVoter
			}
			servers = append(servers, p.server())
		}
		if !listedOrJoining {
			return nil, fmt.Errorf("store: node %q is not among its peers", o.Node)
		}
		n.layer = newStreamLayer(o.Listener, n.serve, advertised, o.Via)
		networkTransport := raft.NewNetworkTransportWithLogger(n.layer, 3, applyTimeout, c.Logger)
		transport, n.transport = networkTransport, closeStreams{networkTransport}
	}
	r, err := n.start(c, o, transport)
	if err != nil {
		n.transport.Close()
		n.closeFiles()
		return nil, err
	}
	n.raft = r
	n.replayIndex = r.LastIndex()
	if n.sessions != nil {
		n.sessions.start()
	}
	close(n.started)
	if o.Join || nonVoter {
		return n, nil // the node receives the configuration from the leader
	}
	// Every voter bootstraps with the same first configuration, so the order in which they start does not matter.
	if err := r.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err != nil && err != raft.ErrCantBootstrap {
		n.Close()
		return nil, err
	}
	return n, nil
}

// closeStreams is a raft transport whose Close also closes the pooled connections, which NetworkTransport.Close leaves open.
type closeStreams struct{ *raft.NetworkTransport }

func (c closeStreams) Close() error {
	err := c.NetworkTransport.Close()
	c.CloseStreams()
	return err
}

// server returns the peer as an entry of a raft configuration.
func (p Peer) server() raft.Server {
	s := raft.Server{ID: raft.ServerID(p.Node), Address: raft.ServerAddress(p.Address)}
	if p.NonVoter {
		s.Suffrage = raft.Nonvoter
	}
	return s
}

// start starts raft with its log and snapshots in Options.Dir, or in memory if it is empty.
func (n *Node) start(c *raft.Config, o Options, transport raft.Transport) (*raft.Raft, error) {
	if o.Dir == "" {
		logs := raft.NewInmemStore()
		n.logs = logs
		return raft.NewRaft(c, n.fsm, logs, logs, raft.NewInmemSnapshotStore(), transport)
	}
	c.SnapshotThreshold, c.SnapshotInterval, c.TrailingLogs = snapshotThreshold, snapshotCheckInterval, trailingLogs
	syncEvery := time.Duration(0)
	switch o.Sync {
	case SyncAlways, "":
	case SyncInterval:
		syncEvery = syncPeriod
	default:
		return nil, fmt.Errorf("store: sync is %q, but must be %s or %s", o.Sync, SyncAlways, SyncInterval)
	}
	held, err := openFolder(o.Dir)
	if err != nil {
		return nil, err
	}
	n.folder = held
	if !o.DeferTakeOver {
		if err := held.takeOver(); err != nil {
			return nil, err
		}
	}
	j, err := journal.Open(journal.Options{Dir: logDir(held.dir), SyncEvery: syncEvery})
	if err != nil {
		return nil, err
	}
	n.journal, n.logs = j, j
	if j.TruncatedBytes > 0 && o.Log != nil {
		o.Log.WithFields(logrus.Fields{"dir": held.dir, "bytes": j.TruncatedBytes}).Warn("store: discarded an incomplete write at the end of the log")
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(held.dir, retainedSnapshots, c.Logger)
	if err != nil {
		return nil, err
	}
	return raft.NewRaft(c, n.fsm, j, j, snapshots, transport)
}

// Names of the folders of the journal and of raft's snapshots within a store's folder.
const (
	logName       = "log"
	snapshotsName = "snapshots"
)

// logDir returns the folder of the journal within a store's folder.
func logDir(dir string) string { return filepath.Join(dir, logName) }

// Ready reports whether this member has caught up: it knows a leader and has applied all commands that were in its log when
// the log was opened, and all that the leader has reported as committed. Until then a restarted member holds only its last
// snapshot, and a new one holds nothing. Once Ready has returned true, it always does; reads are local, and may lag the
// leader by the entries in flight. A single member in memory has nothing to catch up with and need not be waited
// for.
func (n *Node) Ready() bool {
	if n.caughtUp.Load() {
		return true
	}
	select {
	case <-n.started:
	default:
		return false
	}
	if !n.leaderKnown() {
		return false
	}
	if n.fsm.lastIndex() < n.lastPendingCommand(max(n.replayIndex, n.raft.CommitIndex())) {
		return false
	}
	n.caughtUp.Store(true)
	return true
}

// lastPendingCommand returns the index of the last command in the log that the machine has not applied yet, not counting
// entries after upTo; 0 if there is none. raft passes only commands to the machine: no-ops and membership changes do not
// advance the machine's index.
func (n *Node) lastPendingCommand(upTo uint64) uint64 {
	var l raft.Log
	for i, applied := upTo, n.fsm.lastIndex(); i > applied; i-- {
		if n.logs.GetLog(i, &l) != nil { // compacted: the machine has applied the entry, or restored a snapshot that covers it
			return 0
		}
		if l.Type == raft.LogCommand {
			return i
		}
	}
	return 0
}

// leaderKnown reports whether this member leads or knows the leader.
func (n *Node) leaderKnown() bool {
	leader, _ := n.raft.LeaderWithID()
	return leader != "" || n.Leader()
}

// WaitReady returns nil once the member is Ready, or ErrNotReady if the context ends first.
func (n *Node) WaitReady(ctx context.Context) error {
	for tick := time.NewTicker(readyPollInterval); !n.Ready(); {
		select {
		case <-ctx.Done():
			tick.Stop()
			return fmt.Errorf("store: %w after %v", ErrNotReady, context.Cause(ctx))
		case <-tick.C:
		}
	}
	return nil
}

// Leader reports whether this node is the leader.
func (n *Node) Leader() bool { return n.raft.State() == raft.Leader }

// Get implements Store.
func (n *Node) Get(key string) (Record, bool) { return n.fsm.get(key) }

// List implements Store.
func (n *Node) List(prefix string) []Record { return n.fsm.list(prefix) }

// Watch implements Store.
func (n *Node) Watch(prefix string, f func(Record)) { n.fsm.watch(prefix, f) }

// Put implements Store.
func (n *Node) Put(ctx context.Context, key string, value []byte) (uint64, error) {
	return n.write(ctx, command{Op: opPut, Key: key, Value: value})
}

// PutAt implements Store.
func (n *Node) PutAt(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	return n.write(ctx, command{Op: opPutAt, Key: key, Value: value, At: expected})
}

// Delete implements Store.
func (n *Node) Delete(ctx context.Context, key string) error {
	_, err := n.write(ctx, command{Op: opDelete, Key: key})
	return err
}

// Compact takes a snapshot now and removes the log entries that it covers, except for the trailing ones. It does nothing if
// no entry was applied since the last snapshot.
func (n *Node) Compact() error {
	if err := n.raft.Snapshot().Error(); err != nil && err != raft.ErrNothingNewToSnapshot {
		return err
	}
	return nil
}

// Close implements Store.
func (n *Node) Close() error {
	if n.sessions != nil {
		n.sessions.close()
	}
	err := n.raft.Shutdown().Error()
	n.transport.Close()
	return errors.Join(err, n.closeFiles())
}

// TakeOver makes later starts use this process's files. Until then they use those of the process that ran when this one started. Only a
// node that was opened with Options.DeferTakeOver needs it.
func (n *Node) TakeOver() error {
	if n.folder == nil {
		return nil
	}
	return n.folder.takeOver()
}

// closeFiles closes the journal and unlocks the folder.
func (n *Node) closeFiles() (err error) {
	if n.journal != nil {
		err = n.journal.Close()
	}
	if n.folder != nil {
		err = errors.Join(err, n.folder.release())
	}
	return err
}

// logWriter forwards the output of raft's logger to log, at the info level.
type logWriter struct{ log logrus.FieldLogger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Info("store: " + strings.TrimSpace(string(p)))
	return len(p), nil
}
