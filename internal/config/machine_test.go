package config

import (
	"os"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"
)

const machineStore = `"store":{"listen":"127.0.0.1:7400","peers":[{"node":"c1","address":"127.0.0.1:7400"}]}`

// invalidMachines are invalid files of a control machine, each with the start of the first line of its error.
var invalidMachines = []struct{ kind, text, want string }{
	{syntaxFault, ``, `1:1: the file is empty`},
	{syntaxFault, `{"name":"c1"`, `1:13: unexpected end of file`},
	{schemaFault, `[]`, `1:1: is an array, must be an object`},
	{schemaFault, `{` + machineStore + `}`, `1:1: name is missing`},
	{schemaFault, `{"name":"c1"}`, `1:1: store is missing`},
	{schemaFault, `{"name":"c1","stor":{}}`, `1:1: store is missing`},
	{schemaFault, `{"name":"a b",` + machineStore + `}`, `1:2: name: must have 1 to 64 characters`},
	{schemaFault, `{"name":"c1","zone":3,` + machineStore + `}`, `1:14: zone: is a number, must be a string`},
	{schemaFault, `{"name":"c1","region":"",` + machineStore + `}`, `1:14: region: must have 1 to 64 characters`},
	{decoderFault, `{"name":"c1","admin_addr":"here",` + machineStore + `}`, `1:14: admin_addr: "here" is not HOST:PORT`},
	{schemaFault, `{"name":"c1","store":{"peers":[{"node":"c1","address":"a:1"}]}}`, `1:14: store.listen: is missing; peers require it`},
	{schemaFault, `{"name":"c1","store":{"listen":"a:1"}}`, `1:14: store.peers: missing`},
	{schemaFault, `{"name":"c1","store":{"listen":"a:1","peers":[{"node":"c1"}]}}`, `1:47: store.peers[0]: node or address is missing`},
	{schemaFault, `{"name":"c1","store":{"listen":"a:1","dirs":"x","join":true}}`, `1:38: store.dirs: unknown key; did you mean "dir"?`},
	{schemaFault, `{"name":"c1",` + machineStore + `,"admission":{"sesions":9}}`, `1:114: admission.sesions: unknown key; did you mean "sessions"?`},
	{schemaFault, `{"name":"c1",` + machineStore + `,"admission":{"sessions":0}}`, `1:114: admission.sessions: 0 is under 1`},
	{schemaFault, `{"name":"c1",` + machineStore + `,"admission":{"sessions":2.5}}`, `1:114: admission.sessions: 2.5 is not a whole number`},
	{schemaFault, `{"name":"c1",` + machineStore + `,"admission":{"sessions_per_s":0}}`, `1:114: admission.sessions_per_s: 0 is under 0.1`},
	{schemaFault, `{"name":"c1",` + machineStore + `,"admission":{"snapshots_burst":1.5}}`, `1:114: admission.snapshots_burst: 1.5 is not a whole number`},
	{schemaFault, `{"name":"c1",` + machineStore + `,"gatekeeper":1}`, `1:101: gatekeeper: is a number, must be a string`},
	{schemaFault, `{"name":"c1",` + machineStore + `,"election_ms":50}`, `1:101: election_ms: 50 is under 100`},
	{decoderFault, `{"name":"c1",` + machineStore + `,"gatekeeper":"none.json"}`, `1:101: gatekeeper: none.json: can't be read`},
}

func TestInvalidControlMachineFiles(t *testing.T) {
	s, err := jsonschema.NewCompiler().Compile("../../deploy/control-machine.schema.json")
	require.NoError(t, err)
	for _, row := range invalidMachines {
		_, err := ParseControlMachine("m.json", []byte(row.text))
		if err == nil {
			t.Errorf("accepted: %s", row.text)
			continue
		}
		if first, _, _ := strings.Cut(err.Error(), "\n"); !strings.HasPrefix(first, "m.json:"+row.want) {
			t.Errorf("%s\n got %s\nwant m.json:%s", row.text, first, row.want)
		}
		if row.kind != syntaxFault && validates(t, s, row.text) != (row.kind == decoderFault) {
			t.Errorf("schema validation: got %t for %s", row.kind != decoderFault, row.text)
		}
	}
}

// The shipped example is valid for the decoder and for the schema, and is decoded with its values.
func TestShippedControlMachineFile(t *testing.T) {
	s, err := jsonschema.NewCompiler().Compile("../../deploy/control-machine.schema.json")
	require.NoError(t, err)
	const file = "../../deploy/example/control.json"
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.True(t, validates(t, s, string(text)))
	t.Chdir("../..") // the path of the gatekeeper's configuration in the file is relative to this directory
	m, err := LoadControlMachine("deploy/example/control.json")
	require.NoError(t, err)
	require.Equal(t, "control-1", m.Name)
	require.Equal(t, "control-1", m.Store.Node)
	require.Len(t, m.Store.Peers, 3)
	require.True(t, m.Store.Peers[2].NonVoter)
	require.NotNil(t, m.Site)
	require.Equal(t, 200.0, m.Admission.SessionsPerS)
}

// The section control of a deploy file: dir defaults to a directory in store.dir, and to none without one.
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
