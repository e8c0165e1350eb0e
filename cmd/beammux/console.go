package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/gdamore/tcell/v2"
	"golang.org/x/term"

	"beammux/control"
	"beammux/internal/admin"
	"beammux/internal/console"
	"beammux/internal/history"
	"beammux/internal/record"
)

type consoleCmd struct {
	Records []string      `help:"Directories of records to replay." xor:"source" required:""`
	Attach  []string      `help:"Console sockets of gatekeepers: unix:PATH or HOST:PORT." xor:"source" required:""`
	Speed   float64       `help:"Speed of a replay, as a multiple of real time." default:"10"`
	For     time.Duration `help:"How long to watch before a plain table is printed, if the output is not a terminal." default:"2s"`
}

func (c consoleCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	terminal := term.IsTerminal(int(os.Stdout.Fd()))
	if c.Speed <= 0 {
		return withExitCode(fmt.Errorf("console: --speed must be over 0"), 2)
	}
	mode := "live"
	items := make(chan record.Item, 1024)
	failed := make(chan error, 1)
	if len(c.Records) > 0 {
		mode = fmt.Sprintf("replay x%g", c.Speed)
		r, err := record.NewReader(c.Records...)
		if err != nil {
			return err
		}
		speed := c.Speed
		if !terminal {
			speed = 0 // all at once
		}
		go func() {
			defer r.Close()
			if err := replay(ctx, r, speed, items); err != nil {
				failed <- err
			}
			close(items)
		}()
	} else {
		for _, addr := range c.Attach {
			if _, _, err := admin.ParseAddress(addr); err != nil {
				return withExitCode(fmt.Errorf("console: --attach %s: %w", addr, err), 2)
			}
		}
		for i, addr := range c.Attach {
			conn, err := dialConsole(addr)
			if err != nil {
				return err
			}
			go watch(ctx, c.Attach[i], conn, items)
		}
	}
	state := console.NewState(mode)
	if !terminal {
		deadline := time.After(c.For)
		if len(c.Records) > 0 {
			deadline = nil
		}
		for {
			select {
			case i, ok := <-items:
				if ok {
					state.Item(i)
					continue
				}
			case <-deadline:
			case <-ctx.Done():
			}
			break
		}
		select {
		case err := <-failed:
			return err
		default:
			return state.Print(os.Stdout)
		}
	}
	screen, err := tcell.NewScreen()
	if err != nil {
		return err
	}
	if err := screen.Init(); err != nil {
		return err
	}
	defer screen.Fini()
	console.Show(screen, state, items, ctx.Done())
	return nil
}

// replay sends records to items at a speed, as a multiple of real time; 0 sends them without delay. Events are copied, since the
// reader reuses its buffer.
func replay(ctx context.Context, reader *record.Reader, speed float64, items chan<- record.Item) error {
	var first control.Micros
	began := time.Now()
	for {
		item, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if item.Event != nil {
			event := *item.Event
			item.Event = &event
			if first == 0 {
				first = event.At
			}
			if speed > 0 {
				due := began.Add(time.Duration(float64(event.At-first) / speed * 1000))
				select {
				case <-time.After(time.Until(due)):
				case <-ctx.Done():
					return nil
				}
			}
		}
		select {
		case items <- item:
		case <-ctx.Done():
			return nil
		}
	}
}

// dialConsole connects to the console socket of a gatekeeper.
func dialConsole(addr string) (net.Conn, error) {
	network, address, err := admin.ParseAddress(addr)
	if err != nil {
		return nil, err
	}
	return net.DialTimeout(network, address, 2*time.Second)
}

// watch sends a gatekeeper's events to items and reconnects when the connection breaks. It reports the time without a connection
// as a gap.
func watch(ctx context.Context, addr string, conn net.Conn, items chan<- record.Item) {
	var last history.Event
	for ; ; conn, _ = dialConsole(addr) {
		if conn != nil {
			var closeOnce sync.Once
			stop := context.AfterFunc(ctx, func() { closeOnce.Do(func() { conn.Close() }) })
			if stream, err := record.NewStreamReader(conn); err == nil {
				for {
					event, err := stream.Next()
					if err != nil {
						break
					}
					if last.At > 0 {
						items <- record.Item{Gap: &history.Gap{Node: event.Node, From: last.At, To: event.At, Why: history.Restart, Hides: true}}
					}
					last = history.Event{}
					if event.Kind == history.Dropped {
						items <- record.Item{Gap: &history.Gap{Node: event.Node, From: event.At, To: event.At, Why: history.Lost, Hides: true, Count: event.N}}
					}
					items <- record.Item{Event: event}
					last.At = 0
				}
			}
			stop()
			closeOnce.Do(func() { conn.Close() })
			last.At = control.Micros(time.Now().UnixMicro())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}
