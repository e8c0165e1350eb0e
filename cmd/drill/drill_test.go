package main

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// The golden exchange covers a start, calls, an answer, a drain, a stop and restart in one batch, and rosters reused in a batch.
func TestGoldenExchange(t *testing.T) {
	in, err := os.ReadFile("testdata/exchange.in")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/exchange.out")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	if err := run(bytes.NewReader(in), &got); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

const start = "mark clock-us=1\nnew_instance i=0 nonce64=1 settings={}\n"

func TestMalformedInput(t *testing.T) {
	for _, row := range []struct{ name, in, want string }{
		{"outside a batch", "knock i=0\n", "line 1: field knock: outside a batch"},
		{"clock missing", "mark\n", "line 1: field clock-us: missing in mark"},
		{"settings", "mark clock-us=1\nnew_instance i=0 nonce64=1 settings={]\n", "line 2: field settings: not a JSON"},
		{"settings type", "mark clock-us=1\nnew_instance i=0 nonce64=1 settings={\"balancers\":\"x\"}\n",
			"line 2: field settings: key balancers has a wrong type"},
		{"no such instance", start + "withdrawn i=5 request-id=a\n", "line 3: field i: no instance 5"},
		{"code", start + "resolved i=0 request-id=a try=0 server=1 code=WHAT\n", `line 3: field code: not known: "WHAT"`},
		{"census", start + "backends_changed i=0 kind=1 index=1 roster-id=4\n", "line 3: field roster-id: no census 4"},
		{"short census", start + "census roster-id=0 items=1\neob\n", "line 4: field eob: a server line was due"},
		{"phase", start + "census roster-id=0 items=1\nserver server=1 cell=0 phase=7\n", "line 4: field phase: not 0, 1 or 2"},
		{"cut off", start, "line 3: input ends inside a batch"},
	} {
		t.Run(row.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(row.in), &out)
			if err == nil || !strings.HasPrefix(err.Error(), row.want) {
				t.Errorf("fault %v, want %s", err, row.want)
			}
		})
	}
}

func TestEmptyAndUnknown(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader("mark clock-us=1\neob\nmark clock-us=2\nnews i=0 x=1\neob\n"), &out)
	if err != nil || out.String() != "ready\nready\n" {
		t.Errorf("%v, %q", err, out.String())
	}
}

// Instances share no state: a server that drains for one instance stays usable for another.
func TestInstancesAreIsolated(t *testing.T) {
	in := start + `new_instance i=1 nonce64=2 settings={}
census roster-id=0 items=1
server server=9 dc=0 family-type=0 cell=0 phase=1 capacity-hint=1
backends_changed i=0 kind=2 index=1 roster-id=0
backends_changed i=1 kind=2 index=1 roster-id=0
census roster-id=0 items=1
server server=9 dc=0 family-type=0 cell=0 phase=2 capacity-hint=1
backends_changed i=0 kind=0 index=2 roster-id=0
knock i=0 request-id=aa category=0 drop-dead-us=3000000
knock i=1 request-id=bb category=0 drop-dead-us=3000000
eob
`
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"shed i=0 request-id=aa", "transmit i=1 request-id=bb"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}
