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
	Records []string      `help:"Folders of records to replay." xor:"source" required:""`
	Attach  []string      `help:"Console sockets of gatekeepers: unix:PATH or HOST:PORT." xor:"source" required:""`
	Speed   float64       `help:"Of a replay, in real time." default:"10"`
	For     time.Duration `help:"How long to watch before a plain table is printed, where the output is no terminal." default:"2s"`
}

func (c consoleCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	terminal := term.IsTerminal(int(os.Stdout.Fd()))
	if c.Speed <= 0 {
		return fault(fmt.Errorf("console: --speed must be over 0"), 2)
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
				return fault(fmt.Errorf("console: --attach %s: %w", addr, err), 2)
			}
		}
		for i, addr := range c.Attach {
			first, err := dialConsole(addr)
			if err != nil {
				return err
			}
			go watch(ctx, c.Attach[i], first, items)
		}
	}
	s := console.NewState(mode)
	if !terminal {
		limit := time.After(c.For)
		if len(c.Records) > 0 {
			limit = nil
		}
		for {
			select {
			case i, ok := <-items:
				if ok {
					s.Item(i)
					continue
				}
			case <-limit:
			case <-ctx.Done():
			}
			break
		}
		select {
		case err := <-failed:
			return err
		default:
			return s.Print(os.Stdout)
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
	console.Show(screen, s, items, ctx.Done())
	return nil
}

// replay brings records at a speed, 0 for all at once. Events are copied, since the reader uses its own again.
func replay(ctx context.Context, r *record.Reader, speed float64, items chan<- record.Item) error {
	var first control.Micros
	began := time.Now()
	for {
		i, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if i.Event != nil {
			e := *i.Event
			i.Event = &e
			if first == 0 {
				first = e.At
			}
			if speed > 0 {
				due := began.Add(time.Duration(float64(e.At-first) / speed * 1000))
				select {
				case <-time.After(time.Until(due)):
				case <-ctx.Done():
					return nil
				}
			}
		}
		select {
		case items <- i:
		case <-ctx.Done():
			return nil
		}
	}
}

func dialConsole(addr string) (net.Conn, error) {
	network, address, err := admin.ParseAddress(addr)
	if err != nil {
		return nil, err
	}
	return net.DialTimeout(network, address, 2*time.Second)
}

// watch brings a gatekeeper's events, and connects again when the connection breaks; what was missed is a gap.
func watch(ctx context.Context, addr string, conn net.Conn, items chan<- record.Item) {
	var last history.Event
	for ; ; conn, _ = dialConsole(addr) {
		if conn != nil {
			var once sync.Once
			end := context.AfterFunc(ctx, func() { once.Do(func() { conn.Close() }) })
			if s, err := record.NewStreamReader(conn); err == nil {
				for {
					e, err := s.Next()
					if err != nil {
						break
					}
					if last.At > 0 {
						items <- record.Item{Gap: &history.Gap{Node: e.Node, From: last.At, To: e.At, Why: history.Restart, Hides: true}}
					}
					last = history.Event{}
					if e.Kind == history.Dropped {
						items <- record.Item{Gap: &history.Gap{Node: e.Node, From: e.At, To: e.At, Why: history.Lost, Hides: true, Count: e.N}}
					}
					items <- record.Item{Event: e}
					last.At = 0
				}
			}
			end()
			once.Do(func() { conn.Close() })
			last.At = control.Micros(time.Now().UnixMicro())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}
