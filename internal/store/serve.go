package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"
)

// serve handles one connection of a client or of a forwarding member, which carries one command.
func (n *Node) serve(c net.Conn) {
	defer c.Close()
	select {
	case <-n.started:
	case <-time.After(applyTimeout): // raft did not start
		return
	}
	c.SetDeadline(time.Now().Add(2 * applyTimeout))
	in := newLineReader(c, maxCommand)
	line, err := in.next(maxCommand)
	if err != nil {
		return
	}
	var r result
	var cmd command
	if err = json.Unmarshal(line, &cmd); err == nil {
		switch {
		case cmd.Op == opWatch && cmd.Watch != nil:
			n.serveSession(c, in, *cmd.Watch)
			return
		case cmd.Op == opWatch:
			n.serveWatch(c, cmd.Key)
			return
		}
		err = n.answer(cmd, &r)
	}
	if err != nil {
		r.fail(err)
	}
	json.NewEncoder(c).Encode(r)
}

// answer carries out a command with a single answer.
func (n *Node) answer(cmd command, r *result) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	switch {
	case n.answerLocally(cmd, r):
		return nil
	case cmd.Op == opMember:
		r.Done, err = n.ChangeMember(ctx, *cmd.Member, cmd.Hop)
	case cmd.Hop: // forwarded by a member that considers this one the leader
		*r, err = n.commit(ctx, cmd)
	default:
		err = n.clientCommand(ctx, cmd, r)
	}
	return err
}

// clientCommand has the leader commit a client's write or reduce.
func (n *Node) clientCommand(ctx context.Context, cmd command, r *result) (err error) {
	if err := n.checkClient(&cmd); err != nil {
		return err
	}
	if !n.leaderKnown() { // the client retries within its own timeout
		return ErrNotReady
	}
	if cmd.Op == opRaise {
		r.Revision, err = n.Raise(ctx, cmd.At)
		r.Done = raiseConfirmed
		return err
	}
	cmd.Hop = true
	if cmd.Op == opReduce {
		*r, err = n.commitAtLeader(ctx, cmd)
		return err
	}
	r.Revision, err = n.write(ctx, cmd)
	switch {
	case errors.Is(err, ErrRevision):
		r.Conflict, err = true, nil
	case err == nil && cmd.Op == opTransact:
		r.Done = transactionConfirmed
	}
	return err
}

// lineReader reads lines of bounded length.
type lineReader struct {
	limit *io.LimitedReader
	in    *bufio.Reader
}

func newLineReader(from io.Reader, maxBytes int64) *lineReader {
	limit := &io.LimitedReader{R: from, N: maxBytes}
	return &lineReader{limit, bufio.NewReader(limit)}
}

// next reads a line. It reads at most maxBytes from the connection, besides those that are buffered already.
func (l *lineReader) next(maxBytes int64) ([]byte, error) {
	l.limit.N = maxBytes
	return l.in.ReadBytes('\n')
}
