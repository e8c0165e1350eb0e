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
	electAfter  = 400 * time.Millisecond // without word from the leader, unless Options.Election says otherwise
	applyWithin = 2 * time.Second
	retryAfter  = 30 * time.Millisecond // while there is no leader
	readyEvery  = 5 * time.Millisecond  // how often a member that waits to be ready looks
	sniffWithin = time.Second           // for the first byte of a connection
	maxCommand  = 4 << 20
	maxAnswer   = 256 << 20
)

// Peer is one member of the group.
type Peer struct {
	Node, Address string
	NonVoter      bool // it holds all records and serves reads, and has no vote, from the first configuration on
}

// Options say how a node works. Without peers it is a single one in memory, without sockets.
type Options struct {
	Node     string
	Listener net.Listener // where peers reach this node
	Peers    []Peer       // all members, this node among them
	Join     bool         // this node is new to a group that runs: it waits to be added, and makes none of its own
	Dir      string       // where log and snapshots are kept; "": in memory, and lost with a majority of the members
	Sync     string       // with Dir: SyncAlways (if empty) or SyncInterval
	// Via gives, for an address of a member, the one at which this node reaches it: a port that is forwarded, or a relay.
	// Members that are not in it are reached at their own.
	Via map[string]string
	// Reducers carry out Reduce, by key. All members of a group must have the same.
	Reducers map[string]Reducer
	// Check is asked about a client's put, put-at, delete or transaction at the member that the client reaches, before
	// anything is committed. Its error refuses the write: the client gets a *Refused with its text and its advice. It is
	// not asked about what this process writes itself, nor about what another member hands on, which has asked its own.
	Check func(writes []Write) error
	// Serve makes this member a control machine, which serves watch sessions; nil: it serves none.
	Serve *ServeOptions
	// Election is the time without word from the leader after which a voter stands for election; 0: 400 ms. It must be a
	// few times the round trip between members, and all members must have the same.
	Election time.Duration
	Log      logrus.FieldLogger
}

// What a write waits for, with Options.Dir. Neither loses anything when a process is killed. When the machine fails,
// SyncAlways loses nothing that was acknowledged; SyncInterval may lose the writes of the last 100 ms, where a majority
// of the members' machines fails within it. Votes and terms are synced in any case.
const (
	SyncAlways   = "always"
	SyncInterval = "interval"
)

const (
	syncEvery     = 100 * time.Millisecond
	snapshotsKept = 2
	snapshotAfter = 4096             // entries
	snapshotEvery = 30 * time.Second // how often that is looked at
	trailing      = 1024             // entries kept behind a snapshot, for members that are a little late
)

// Node is a member of the group.
type Node struct {
	id      string
	raft    *raft.Raft
	fsm     *machine
	layer   *streamLayer
	trans   io.Closer
	journal *journal.Journal // nil: in memory
	via     map[string]string
	ready   chan struct{} // closed once raft is there: connections may come before
	logs    raft.LogStore
	replay  uint64      // the last index of the log as it was opened: what must be applied to be ready
	caught  atomic.Bool // Ready has been true
	born    time.Time

	check    func([]Write) error
	versions versionCheck   // of the members, at the leader
	sessions *sessionServer // nil: no control machine
	stamping sync.Mutex     // of reduces, at the leader
}

// Open starts a node.
func Open(o Options) (*Node, error) {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(o.Node)
	election := o.Election
	if election == 0 {
		election = electAfter
	}
	c.HeartbeatTimeout, c.ElectionTimeout = election, election
	c.LeaderLeaseTimeout = election / 2
	c.CommitTimeout = 10 * time.Millisecond
	c.ShutdownOnRemove = false
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Output: logWriter{o.Log}, Level: hclog.Warn, DisableTime: true})
	n := &Node{id: o.Node, fsm: newMachine(), via: o.Via, ready: make(chan struct{}), born: time.Now()}
	n.fsm.reducers, n.check = o.Reducers, o.Check
	if o.Serve != nil {
		n.sessions = newSessionServer(n, o.Serve.withDefaults())
		n.fsm.history = n.sessions.history
	}
	servers := []raft.Server{{ID: c.LocalID, Address: raft.ServerAddress(o.Node)}}
	nonVoter := false
	var trans raft.Transport
	if len(o.Peers) == 0 && !o.Join {
		_, mem := raft.NewInmemTransport(raft.ServerAddress(o.Node))
		trans, n.trans = mem, mem
	} else {
		if o.Listener == nil {
			return nil, errors.New("store: a node with peers, or one that joins, must listen")
		}
		servers = nil
		own, advertised := o.Join, ""
		for _, p := range o.Peers {
			if p.Node == o.Node {
				own, advertised, nonVoter = true, p.Address, p.NonVoter
			}
			servers = append(servers, p.server())
		}
		if !own {
			return nil, fmt.Errorf("store: node %q is not among its peers", o.Node)
		}
		n.layer = newStreamLayer(o.Listener, n.serve, advertised, o.Via)
		net := raft.NewNetworkTransportWithLogger(n.layer, 3, applyWithin, c.Logger)
		trans, n.trans = net, closeStreams{net}
	}
	r, err := n.start(c, o, trans)
	if err != nil {
		n.trans.Close()
		if n.journal != nil {
			n.journal.Close()
		}
		return nil, err
	}
	n.raft = r
	n.replay = r.LastIndex()
	if n.sessions != nil {
		n.sessions.start()
	}
	close(n.ready)
	if o.Join || nonVoter {
		return n, nil // the leader brings the configuration
	}
	// Every voter names the same first configuration, so it does not matter who is first.
	if err := r.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err != nil && err != raft.ErrCantBootstrap {
		n.Close()
		return nil, err
	}
	return n, nil
}

// closeStreams closes the connections that raft's transport keeps, which its Close leaves open.
type closeStreams struct{ *raft.NetworkTransport }

func (c closeStreams) Close() error {
	err := c.NetworkTransport.Close()
	c.CloseStreams()
	return err
}

func (p Peer) server() raft.Server {
	s := raft.Server{ID: raft.ServerID(p.Node), Address: raft.ServerAddress(p.Address)}
	if p.NonVoter {
		s.Suffrage = raft.Nonvoter
	}
	return s
}

// start runs raft on files, or in memory where no folder is named.
func (n *Node) start(c *raft.Config, o Options, trans raft.Transport) (*raft.Raft, error) {
	if o.Dir == "" {
		logs := raft.NewInmemStore()
		n.logs = logs
		return raft.NewRaft(c, n.fsm, logs, logs, raft.NewInmemSnapshotStore(), trans)
	}
	c.SnapshotThreshold, c.SnapshotInterval, c.TrailingLogs = snapshotAfter, snapshotEvery, trailing
	every := time.Duration(0)
	switch o.Sync {
	case SyncAlways, "":
	case SyncInterval:
		every = syncEvery
	default:
		return nil, fmt.Errorf("store: sync is %q, must be %s or %s", o.Sync, SyncAlways, SyncInterval)
	}
	j, err := journal.Open(journal.Options{Dir: logDir(o.Dir), Every: every})
	if err != nil {
		return nil, err
	}
	n.journal, n.logs = j, j
	if j.Cut > 0 && o.Log != nil {
		o.Log.WithFields(logrus.Fields{"dir": o.Dir, "bytes": j.Cut}).Warn("store: a torn end of the log was cut off")
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(o.Dir, snapshotsKept, c.Logger)
	if err != nil {
		return nil, err
	}
	return raft.NewRaft(c, n.fsm, j, j, snapshots, trans)
}

// logDir is where the journal is within a store's folder; raft keeps its snapshots beside it.
func logDir(dir string) string { return filepath.Join(dir, "log") }

// Ready tells whether what this member reads is as new as what it held when it was opened and as what its leader has
// told it is committed: a leader is known, and every entry up to both indexes is applied. Until then a member that was
// restarted holds only its last snapshot, and a new one nothing. Once true it stays true; reads after that are local and
// may lag the leader by what is in flight. The platform's single member in memory does not wait on it.
func (n *Node) Ready() bool {
	if n.caught.Load() {
		return true
	}
	select {
	case <-n.ready:
	default:
		return false
	}
	if !n.leaderKnown() {
		return false
	}
	if n.fsm.lastIndex() < n.lastCommand(max(n.replay, n.raft.CommitIndex())) {
		return false
	}
	n.caught.Store(true)
	return true
}

// lastCommand is the index of the last command at or below an index that the machine has not applied yet, 0 if there is
// none. Only commands reach the machine: no-ops and changes of members do not, so the machine's index stops below them.
func (n *Node) lastCommand(upTo uint64) uint64 {
	var l raft.Log
	for i, applied := upTo, n.fsm.lastIndex(); i > applied; i-- {
		if n.logs.GetLog(i, &l) != nil { // taken into a snapshot: applied with it
			return 0
		}
		if l.Type == raft.LogCommand {
			return i
		}
	}
	return 0
}

func (n *Node) leaderKnown() bool {
	leader, _ := n.raft.LeaderWithID()
	return leader != "" || n.Leader()
}

// WaitReady returns once the member is Ready, or with ErrNotReady when the context ends first.
func (n *Node) WaitReady(ctx context.Context) error {
	for tick := time.NewTicker(readyEvery); !n.Ready(); {
		select {
		case <-ctx.Done():
			tick.Stop()
			return fmt.Errorf("store: %w after %v", ErrNotReady, context.Cause(ctx))
		case <-tick.C:
		}
	}
	return nil
}

// Leader tells whether this node leads.
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
func (n *Node) PutAt(ctx context.Context, key string, value []byte, at uint64) (uint64, error) {
	return n.write(ctx, command{Op: opPutAt, Key: key, Value: value, At: at})
}

// Delete implements Store.
func (n *Node) Delete(ctx context.Context, key string) error {
	_, err := n.write(ctx, command{Op: opDelete, Key: key})
	return err
}

// Compact takes a snapshot now and drops the log entries that it holds, but for the last ones. With nothing new since the
// last snapshot it does nothing.
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
	n.trans.Close()
	if n.journal != nil {
		err = errors.Join(err, n.journal.Close())
	}
	return err
}

type logWriter struct{ log logrus.FieldLogger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Info("store: " + strings.TrimSpace(string(p)))
	return len(p), nil
}
