package report

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"beammux/control"
	"beammux/internal/history"
	"beammux/internal/record"
)

const second = control.Micros(1e6)

var start = control.Micros(time.Date(2026, 12, 1, 18, 0, 0, 0, time.UTC).UnixMicro())

func figures() *history.Rules {
	return &history.Rules{Classes: []history.Class{{Name: "menu-view", Aim: 1500000, Worth: 1, LateWorth: 0.25}}, DrainGrace: 250000,
		ReleaseGuard: 300000, FallMultiple: 2, FallTime: 1e6, StartCapacity: 0.33, WarmWithin: 15e6, Fronts: 1}
}

// write records a story of one gatekeeper.
func write(t *testing.T, dir, node string, events ...history.Event) {
	t.Helper()
	r, err := record.NewRecorder(record.Options{Dir: dir, Node: node})
	if err != nil {
		t.Fatal(err)
	}
	r.Record(history.Event{At: start, Kind: history.Started, Rules: figures(), Name: "none"})
	for _, e := range events {
		r.Record(e)
	}
	r.Close()
}

func build(t *testing.T, o Options) *Report {
	t.Helper()
	r, err := Build(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func html(t *testing.T, r *Report) string {
	t.Helper()
	var b bytes.Buffer
	if err := r.HTML(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// wellFormed goes through a page as XML with HTML's void elements: every tag is closed in order.
func wellFormed(page string) error {
	d := xml.NewDecoder(strings.NewReader(page))
	d.Strict, d.AutoClose, d.Entity = true, xml.HTMLAutoClose, xml.HTMLEntity
	d.Strict = false
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// What a record brings can't become markup, and the page refers to nothing outside of it and runs nothing.
func TestHostileNames(t *testing.T) {
	dir := t.TempDir()
	bad := "<script>alert(1)</script>\x1b[31m\x00\"'&"
	write(t, dir, bad,
		history.Event{At: start + 1, Kind: history.Listed, Server: 1, Name: bad, State: control.Ready},
		history.Event{At: start + 2, Kind: history.Received, Call: bad, Span: second},
		history.Event{At: start + 3, Kind: history.Refused, Call: bad},
		history.Event{At: start + 4, Kind: history.Refused, Call: bad},
		history.Event{At: start + 5, Kind: history.Reloaded, Name: bad},
		history.Event{At: start + 6, Kind: history.Viewed, Server: 1, Level: 3, Span: second},
		history.Event{At: start + 5*second, Kind: history.Finished})
	r := build(t, Options{Dirs: []string{dir}})
	page := html(t, r)
	for _, never := range []string{"<script", "\x1b", "\x00", "http://", "https://", "javascript:", "@import", " src=", "url("} {
		if strings.Contains(strings.ToLower(page), never) {
			t.Errorf("the page holds %q", never)
		}
	}
	if !strings.Contains(page, "&lt;script&gt;") {
		t.Error("the name is not shown at all")
	}
	if err := wellFormed(page); err != nil {
		t.Error(err)
	}
	if !r.Broken() || r.Findings[0].Count != 1 {
		t.Errorf("%+v", r.Findings[0])
	}
	var b bytes.Buffer
	if err := r.JSON(&b); err != nil || !json.Valid(b.Bytes()) {
		t.Error(err)
	}
}

// The JSON has the form that other tools read.
func TestJSONForm(t *testing.T) {
	dir := t.TempDir()
	for i := range 2 {
		write(t, dir, "n1", history.Event{At: start + control.Micros(i)*60*second + 1, Kind: history.Received, Call: "a", Span: second},
			history.Event{At: start + control.Micros(i)*60*second + 2, Kind: history.Refused, Call: "a"})
	}
	var b bytes.Buffer
	if err := build(t, Options{Dirs: []string{dir}}).JSON(&b); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Rules []struct {
			Rule, Verdict string
			Evidence      []any
		}
		Gaps []struct {
			Gatekeeper, Why string
			From, To        int64
		}
		Gatekeepers, Servers []any
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Rules) != 5 || len(got.Gaps) != 1 || got.Gaps[0].Why != "restart" || len(got.Gatekeepers) != 1 || got.Servers == nil {
		t.Errorf("%+v", got)
	}
	for _, r := range got.Rules { // the first start was killed
		if r.Verdict != "not shown" || r.Evidence == nil {
			t.Errorf("%+v", r)
		}
	}
}

// A range without records is an empty report, not a fault; a range takes in what was so before it.
func TestRanges(t *testing.T) {
	dir := t.TempDir()
	var events []history.Event
	events = append(events, history.Event{At: start + 1, Kind: history.Listed, Server: 7, Name: "s-7", State: control.Ready})
	for i := range 600 {
		at := start + control.Micros(i)*second
		events = append(events, history.Event{At: at, Kind: history.Received, Call: fmt.Sprint(i), Span: second},
			history.Event{At: at + 5, Kind: history.Established, Call: fmt.Sprint(i), Server: 7, Span: 5})
	}
	events = append(events, history.Event{At: start + 600*second, Kind: history.Finished})
	write(t, dir, "n1", events...)
	at := func(s int) time.Time { return time.UnixMicro(int64(start)).Add(time.Duration(s) * time.Second) }
	r := build(t, Options{Dirs: []string{dir}, From: at(100), To: at(199)})
	if c := r.Fleet.Totals[0]; c.Offered != 100 || c.Served < 99 {
		t.Errorf("%+v", c)
	}
	if s := r.Fleet.Servers[7]; s.Name != "s-7" || r.Findings[0].Verdict != history.Held {
		t.Errorf("%+v, %+v", s, r.Findings[0])
	}
	r = build(t, Options{Dirs: []string{dir}, From: at(5000), To: at(6000)})
	if page := html(t, r); !strings.Contains(page, "There are no calls") || r.Fleet.Events != 0 {
		t.Errorf("%d events", r.Fleet.Events)
	}
	if _, err := Build(Options{Dirs: []string{t.TempDir()}}); err == nil {
		t.Error("an empty folder made a report")
	}
}

// An incident's course is told in words, with gaps drawn where a gatekeeper was down.
func TestCourseAndPlots(t *testing.T) {
	dir := t.TempDir()
	for n := range 3 {
		name := fmt.Sprint("n", n+1)
		write(t, dir, name,
			history.Event{At: start + 1, Kind: history.Listed, Server: 7, Name: "s-7", State: control.Ready},
			history.Event{At: start + 10*second, Kind: history.Viewed, Server: 7, Level: 3, Span: 2 * second},
			history.Event{At: start + 12*second, Kind: history.Viewed, Server: 7, Level: 1, Span: second / 10},
			history.Event{At: start + 20*second, Kind: history.Draining}, history.Event{At: start + 21*second, Kind: history.Finished})
		if n == 0 {
			r, err := record.NewRecorder(record.Options{Dir: dir, Node: name})
			if err != nil {
				t.Fatal(err)
			}
			r.Record(history.Event{At: start + 25*second, Kind: history.Started, Rules: figures()})
			r.Record(history.Event{At: start + 40*second, Kind: history.Finished})
			r.Close()
		}
	}
	r := build(t, Options{Dirs: []string{dir}})
	course, _ := r.Timeline()
	var told []string
	for _, s := range course {
		told = append(told, clock(s.At)+" "+s.Text)
	}
	want := []string{"18:00:00 All 3 gatekeepers started.", "18:00:10 All 3 gatekeepers held back from server s-7, which was overloaded: 3 times.",
		"18:00:20 All 3 gatekeepers began a planned end.", "18:00:21 All 3 gatekeepers ended as planned.", "18:00:25 Gatekeeper n1 started.",
		"18:00:40 Gatekeeper n1 ended as planned."}
	if strings.Join(told, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s", strings.Join(told, "\n"))
	}
	page := html(t, r)
	rect := regexp.MustCompile(`class="gap restart" x="([0-9.]+)" y="[0-9.]+" width="([0-9.]+)"`).FindStringSubmatch(page)
	if rect == nil || rect[1] != "547.4" || rect[2] != "93.6" { // 21 to 25 of 40 s on 936 units
		t.Errorf("gap drawn at %v", rect)
	}
	if n := strings.Count(page, `class="level l3"`); n != 3+1 { // and in the key
		t.Errorf("%d spans at level 3", n)
	}
	if strings.Count(page, "<svg viewBox=\"0 0 1000") != strings.Count(page, "<title id=") {
		t.Error("a plot without a title")
	}
}
