package inventory

import (
	"reflect"
	"strings"
	"testing"

	"beammux/control"
	"beammux/internal/routing"
)

var wantHosts = []routing.Host{
	{Name: "s-00000001", Addr: "127.0.0.1:5060", Cell: 0, State: control.Ready},
	{Name: "s-00000002", Addr: "sip:127.0.0.2:5070;transport=udp", Cell: 1, State: control.Draining, Since: 1700000000000000},
}

func TestFormats(t *testing.T) {
	for _, row := range []struct{ file, text string }{
		{"a.csv", "name,address,cell,state,transport,since_ms,note\n# a comment\ns-00000001,127.0.0.1:5060,0,up,,,old\n" +
			"s-00000002,127.0.0.2:5070,1,draining,udp,1700000000000,\"new, cold\"\n"},
		{"a.yaml", `
all:
  vars: {cell: 0}
  hosts:
    s-00000001: {ansible_host: 127.0.0.1, rack: 7}
  children:
    houston:
      vars: {cell: 1, transport: udp, ansible_port: 5070}
      hosts:
        s-00000002:
          ansible_host: 127.0.0.2
          state: draining
          since_ms: 1700000000000
    empty:
`},
	} {
		got, err := Parse(row.file, []byte(row.text))
		if err != nil || !reflect.DeepEqual(got, wantHosts) {
			t.Errorf("%s: %+v, %v", row.file, got, err)
		}
	}
}

// A host in two groups is one server, and its own variables override those of its groups in any order.
func TestHostInTwoGroups(t *testing.T) {
	got, err := Parse("a.yml", []byte("a: {hosts: {m1: {address: '127.0.0.1:1', cell: 3}}}\nb: {vars: {cell: 4}, hosts: {m1: }}"))
	if err != nil || len(got) != 1 || got[0].Cell != 3 {
		t.Errorf("%+v, %v", got, err)
	}
}

// Each error is one line that names the file, the line and the key.
func TestParseErrors(t *testing.T) {
	for _, row := range []struct{ file, text, want string }{
		{"a.txt", "", `a.txt: extension ".txt" is neither .csv nor .yaml`},
		{"a.csv", "", "a.csv:1: no header"},
		{"a.csv", "name\n", "a.csv:1: key address: missing in the header"},
		{"a.csv", "name,address,name\n", "a.csv:1: key name: listed twice in the header"},
		{"a.csv", "name,address\nx,127.0.0.1\n", `a.csv:2: key address: not host and port: "127.0.0.1"`},
		{"a.csv", "name,address\nx,127.0.0.1:99999\n", `a.csv:2: key address: not a port: "99999"`},
		{"a.csv", "name,address\nx,127.0.0.1:1\nx,127.0.0.1:2\n", `a.csv:3: key name: "x" is already defined in line 2`},
		{"a.csv", "name,address\nx\n", "a.csv:2: wrong number of fields"},
		{"a.csv", "name,address,cell\nx,127.0.0.1:1,two\n", `a.csv:2: key cell: not a number: "two"`},
		{"a.csv", "name,address,state\nx,127.0.0.1:1,dead\n", `a.csv:2: key state: not up, draining or removed: "dead"`},
		{"a.yaml", "a: [", "a.yaml:1: did not find expected node content"},
		{"a.yaml", "", "a.yaml:1: no inventory"},
		{"a.yaml", "all:\n  hosts: 3\n", "a.yaml:2: key hosts: not a mapping"},
		{"a.yaml", "all:\n  hosts:\n    m[1:3]:\n", "a.yaml:3: key m[1:3]: ranges of hosts are not supported"},
		{"a.yaml", "all:\n  hosts:\n    m1:\n      cell: 1\n", "a.yaml:3: key address: missing"},
		{"a.yaml", "all:\n  hosts:\n    m1:\n      address: a:1\n      transport: smoke\n",
			`a.yaml:5: key transport: not platform, udp or tcp: "smoke"`},
		{"a.yaml", "all: &a\n  children:\n    b: *a\n", "a.yaml:"},
	} {
		got, err := Parse(row.file, []byte(row.text))
		if err == nil || !strings.HasPrefix(err.Error(), row.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %+v, %v; want %s", row.text, got, err, row.want)
		}
	}
}
