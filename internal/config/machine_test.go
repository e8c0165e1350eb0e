package config

import (
	"os"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
)

const machineStore = `"store":{"listen":"127.0.0.1:7400","peers":[{"node":"c1","address":"127.0.0.1:7400"}]}`

// badMachines are faults of a control machine's file, each with the line that is reported first.
var badMachines = []struct{ kind, text, want string }{
	{textOnly, ``, `1:1: the file is empty`},
	{textOnly, `{"name":"c1"`, `1:13: the file ends before it is whole`},
	{formOnly, `[]`, `1:1: is an array, must be an object`},
	{formOnly, `{` + machineStore + `}`, `1:1: name is missing`},
	{formOnly, `{"name":"c1"}`, `1:1: store is missing`},
	{formOnly, `{"name":"c1","stor":{}}`, `1:1: store is missing`},
	{formOnly, `{"name":"a b",` + machineStore + `}`, `1:2: name: must have 1 to 64 characters`},
	{formOnly, `{"name":"c1","zone":3,` + machineStore + `}`, `1:14: zone: is a number, must be a string`},
	{formOnly, `{"name":"c1","region":"",` + machineStore + `}`, `1:14: region: must have 1 to 64 characters`},
	{rulesOnly, `{"name":"c1","admin_addr":"here",` + machineStore + `}`, `1:14: admin_addr: "here" is not HOST:PORT`},
	{formOnly, `{"name":"c1","store":{"peers":[{"node":"c1","address":"a:1"}]}}`, `1:14: store.listen: missing`},
	{formOnly, `{"name":"c1","store":{"listen":"a:1"}}`, `1:14: store.peers: missing`},
	{formOnly, `{"name":"c1","store":{"listen":"a:1","peers":[{"node":"c1"}]}}`, `1:47: store.peers[0]: node or address is missing`},
	{formOnly, `{"name":"c1","store":{"listen":"a:1","dirs":"x","join":true}}`, `1:38: store.dirs: unknown key; did you mean "dir"?`},
	{formOnly, `{"name":"c1",` + machineStore + `,"admission":{"sesions":9}}`, `1:114: admission.sesions: unknown key; did you mean "sessions"?`},
	{formOnly, `{"name":"c1",` + machineStore + `,"admission":{"sessions":0}}`, `1:114: admission.sessions: 0 is under 1`},
	{formOnly, `{"name":"c1",` + machineStore + `,"admission":{"sessions":2.5}}`, `1:114: admission.sessions: 2.5 is not a whole number`},
	{formOnly, `{"name":"c1",` + machineStore + `,"admission":{"sessions_per_s":0}}`, `1:114: admission.sessions_per_s: 0 is under 0.1`},
	{formOnly, `{"name":"c1",` + machineStore + `,"admission":{"snapshots_burst":1.5}}`, `1:114: admission.snapshots_burst: 1.5 is not a whole number`},
	{formOnly, `{"name":"c1",` + machineStore + `,"gatekeeper":1}`, `1:101: gatekeeper: is a number, must be a string`},
	{formOnly, `{"name":"c1",` + machineStore + `,"election_ms":50}`, `1:101: election_ms: 50 is under 100`},
	{rulesOnly, `{"name":"c1",` + machineStore + `,"gatekeeper":"none.json"}`, `1:101: gatekeeper: none.json: can't be read`},
}

func TestBadMachines(t *testing.T) {
	s, err := jsonschema.NewCompiler().Compile("../../deploy/control-machine.schema.json")
	require.NoError(t, err)
	for _, row := range badMachines {
		_, err := ParseControlMachine("m.json", []byte(row.text))
		if err == nil {
			t.Errorf("taken: %s", row.text)
			continue
		}
		if first, _, _ := strings.Cut(err.Error(), "\n"); !strings.HasPrefix(first, "m.json:"+row.want) {
			t.Errorf("%s\n got %s\nwant m.json:%s", row.text, first, row.want)
		}
		if row.kind != textOnly && fits(t, s, row.text) != (row.kind == rulesOnly) {
			t.Errorf("the schema says %t to %s", row.kind != rulesOnly, row.text)
		}
	}
}

// The example that ships is good, by the program and by the schema, and says what it says.
func TestShippedMachine(t *testing.T) {
	s, err := jsonschema.NewCompiler().Compile("../../deploy/control-machine.schema.json")
	require.NoError(t, err)
	const file = "../../deploy/example/control.json"
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.True(t, fits(t, s, string(text)))
	t.Chdir("../..") // the file names the gatekeeper's configuration from there
	m, err := LoadControlMachine("deploy/example/control.json")
	require.NoError(t, err)
	require.Equal(t, "control-1", m.Name)
	require.Equal(t, "control-1", m.Store.Node)
	require.Len(t, m.Store.Peers, 3)
	require.True(t, m.Store.Peers[2].NonVoter)
	require.NotNil(t, m.Site)
	require.Equal(t, 200.0, m.Admission.SessionsPerS)
}

// The section control of a deploy file: the folder of the last good settings lies in store.dir where it is not named.
func TestControlSection(t *testing.T) {
	const section = `"control":{"zone":"z1","service":"menus","replicas":[{"name":"c1","address":"a:1","zone":"z1","region":"r1"}]`
	d, err := ParseDeploy("f.json", []byte(`{"store":{"dir":"here"},`+section+`}}`), site())
	require.NoError(t, err)
	require.Equal(t, &Control{Zone: "z1", Service: "menus", Dir: "here/settings", Replicas: []Replica{{"c1", "a:1", "z1", "r1"}}}, d.Control)
	d, err = ParseDeploy("f.json", []byte(`{`+section+`,"dir":"there"}}`), site())
	require.NoError(t, err)
	require.Equal(t, "there", d.Control.Dir)
	d, err = ParseDeploy("f.json", []byte(`{`+section+`}}`), site())
	require.NoError(t, err)
	require.Empty(t, d.Control.Dir)
	d, err = ParseDeploy("f.json", []byte(`{}`), site())
	require.NoError(t, err)
	require.Nil(t, d.Control)
}
