package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"beammux/control"
)

// site returns settings with the classes of the examples: two idempotent ones and one non-idempotent one.
func site() *control.Site {
	class := control.Class{Deadline: 9e6, Worth: 1, Repeat: control.Idempotent}
	nonIdempotent := class
	nonIdempotent.Repeat = control.NonIdempotent
	return &control.Site{ClassNames: []string{"menu-view", "diet-order", "billing"}, Settings: control.Settings{
		Classes: []control.Class{class, class, nonIdempotent}, AttemptsCap: 5, ReleaseGuard: 300000, ResendGap: 500000}}
}

const (
	oneRoute       = `{"calls":{"routes":[{"name":"a","match":{},`
	oneLimit       = `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"alone",`
	controlSection = `{"control":{"replicas":[{"name":"c1","address":"a:1"}],`
	oneClass       = `{"calls":{"classes":{"menu-view":{`
	schemaFault    = "form"  // the schema also rejects the file
	decoderFault   = "rules" // only the decoder rejects the file
	syntaxFault    = "text"  // not JSON, or JSON that the schema's parser accepts
)

// invalidFiles are invalid deploy files, each with the start of the first line of its error.
var invalidFiles = []struct{ kind, text, want string }{
	{syntaxFault, ``, `1:1: the file is empty`},
	{syntaxFault, "  \n ", `1:1: the file is empty`},
	{syntaxFault, `{`, `1:2: unexpected end of file`},
	{syntaxFault, "{\"calls\":{\"defaults\":{\"attempts\":3,\n", `2:1: unexpected end of file`},
	{syntaxFault, `{"calls":{"defaults":{"attem`, `1:29: unexpected end of file`},
	{syntaxFault, `{"calls":{}} {}`, `1:14: not JSON: invalid character '{' after top-level value`},
	{syntaxFault, `{"calls":{},}`, `1:13: not JSON: invalid character '}'`},
	{syntaxFault, `{'calls':{}}`, `1:2: not JSON: invalid character '\''`},
	{syntaxFault, "{\"calls\":{\"defaults\":{\"attempts\":\xff}}}", `1:34: not UTF-8`},
	{syntaxFault, `{"calls":{"defaults":{"attempts":03}}}`, `1:35: not JSON: invalid character '3'`},
	{syntaxFault, `{"calls":{"defaults":{"attempts":NaN}}}`, `1:34: not JSON: invalid character 'N'`},
	{syntaxFault, `// limits` + "\n{}", `1:1: not JSON: invalid character '/'`},
	{syntaxFault, strings.Repeat("[", 40) + strings.Repeat("]", 40), `1:17: nested more than 16 deep`},
	{schemaFault, `[]`, `1:1: is an array, must be an object`},
	{schemaFault, `3`, `1:1: is a number, must be an object`},
	{schemaFault, `{"sip":{"tpc":""},"zzz":1}`, `1:9: sip.tpc: unknown key; did you mean "tcp"?`},
	{schemaFault, `{"zzz":1}`, `1:2: zzz: unknown key`},
	{schemaFault, "{\n  \"Calls\": {}}", `2:3: Calls: unknown key; did you mean "calls"?`},
	{schemaFault, `{"sip":{"udp":5070}}`, `1:9: sip.udp: is a number, must be a string`},
	{schemaFault, `{"sip":[]}`, `1:2: sip: is an array, must be an object`},
	{schemaFault, `{"store":{"peers":{}}}`, `1:11: store.peers: is an object, must be an array`},
	{schemaFault, `{"store":{"listen":"a:1","peers":[{"node":"a"}]}}`, `1:35: store.peers[0]: node or address is missing`},
	{schemaFault, `{"store":{"peers":[{"node":"a","address":"a:1"}]}}`, `1:2: store.listen: is missing; peers require it`},
	{schemaFault, `{"store":{"listen":"a:1","peers":[{"node":"a","address":"a:1","voter":"no"}]}}`, `1:63: store.peers[0].voter: is a string, must be true or false`},
	{schemaFault, `{"store":{"listen":"a:1","peers":[{"node":"a","address":"a:1","voter":false}]}}`, `1:26: store.peers: none of the members has a vote`},
	{schemaFault, `{"control":[]}`, `1:2: control: is an array, must be an object`},
	{schemaFault, `{"control":{}}`, `1:2: control: replicas is missing`},
	{schemaFault, `{"control":{"replicas":{}}}`, `1:13: control.replicas: is an object, must be an array`},
	{schemaFault, `{"control":{"replicas":[]}}`, `1:13: control.replicas: is empty`},
	{schemaFault, `{"control":{"replicas":[{"name":"c1"}]}}`, `1:25: control.replicas[0]: name or address is missing`},
	{schemaFault, `{"control":{"replicas":[{"name":"c1","address":"host"}]}}`, `1:38: control.replicas[0].address: "host" is not HOST:PORT`},
	{decoderFault, `{"control":{"replicas":[{"name":"c1","address":"host:70000"}]}}`, `1:38: control.replicas[0].address: "host:70000" is not HOST:PORT`},
	{decoderFault, `{"control":{"replicas":[{"name":"c1","address":"a:1"},{"name":"c1","address":"a:2"}]}}`, `1:56: control.replicas[1].name: "c1" is the name of replicas[0] already`},
	{schemaFault, `{"control":{"replicas":[3]}}`, `1:25: control.replicas[0]: is a number, must be an object`},
	{schemaFault, controlSection + `"zon":"z"}}`, `1:56: control.zon: unknown key; did you mean "zone"?`},
	{schemaFault, controlSection + `"zone":"a/b"}}`, `1:56: control.zone: must have 1 to 64 characters without white space and /`},
	{schemaFault, controlSection + `"service":""}}`, `1:56: control.service: must have 1 to 64`},
	{schemaFault, controlSection + `"region":3}}`, `1:56: control.region: is a number, must be a string`},
	{schemaFault, controlSection + `"name":"` + strings.Repeat("g", 65) + `"}}`, `1:56: control.name: must have 1 to 64`},
	{schemaFault, controlSection + `"dir":true}}`, `1:56: control.dir: is true or false, must be a string`},
	{schemaFault, `{"inventory":["a.csv"]}`, `1:2: inventory: is an array, must be a string`},
	{schemaFault, `{"calls":null}`, `1:2: calls: is null, must be an object`},
	{schemaFault, `{"calls":[]}`, `1:2: calls: is an array, must be an object`},
	{schemaFault, `{"calls":{"default":{}}}`, `1:11: calls.default: unknown key; did you mean "defaults"?`},
	{schemaFault, `{"calls":{"defaults":{"atempts":3}}}`, `1:23: calls.defaults.atempts: unknown key; did you mean "attempts"?`},
	{schemaFault, `{"calls":{"defaults":{"attempt_timeout":3}}}`, `1:23: calls.defaults.attempt_timeout: unknown key; did you mean "attempt_timeout_ms"?`},
	{schemaFault, `{"calls":{"defaults":{"attempts":0}}}`, `1:23: calls.defaults.attempts: 0 is under 1`},
	{schemaFault, `{"calls":{"defaults":{"attempts":-3}}}`, `1:23: calls.defaults.attempts: -3 is under 1`},
	{schemaFault, `{"calls":{"defaults":{"attempts":2.5}}}`, `1:23: calls.defaults.attempts: 2.5 is not a whole number`},
	{schemaFault, `{"calls":{"defaults":{"attempts":"3"}}}`, `1:23: calls.defaults.attempts: is a string, must be a number`},
	{schemaFault, `{"calls":{"defaults":{"attempts":null}}}`, `1:23: calls.defaults.attempts: is null, must be a number`},
	{schemaFault, `{"calls":{"defaults":{"attempts":true}}}`, `1:23: calls.defaults.attempts: is true or false, must be a number`},
	{schemaFault, `{"calls":{"defaults":{"attempts":1e30}}}`, `1:23: calls.defaults.attempts: 1e30 is over 100`},
	{schemaFault, `{"calls":{"defaults":{"attempts":99999999999999999999}}}`, `1:23: calls.defaults.attempts: 99999999999999999999 is over 100`},
	{schemaFault, `{"calls":{"defaults":{"attempt_timeout_ms":0}}}`, `1:23: calls.defaults.attempt_timeout_ms: 0 is under 1`},
	{schemaFault, `{"calls":{"defaults":{"attempt_timeout_ms":0.5}}}`, `1:23: calls.defaults.attempt_timeout_ms: 0.5 is under 1`},
	{schemaFault, `{"calls":{"defaults":{"attempt_timeout_ms":600001}}}`, `1:23: calls.defaults.attempt_timeout_ms: 600001 is over 600000`},
	{schemaFault, `{"calls":{"defaults":{"retry_wait_ms":-1}}}`, `1:23: calls.defaults.retry_wait_ms: -1 is under 1`},
	{schemaFault, `{"calls":{"defaults":{"retry_jitter_ms":"100ms"}}}`, `1:23: calls.defaults.retry_jitter_ms: is a string, must be a number`},
	{schemaFault, `{"calls":{"defaults":{"give_up_ms":[9000]}}}`, `1:23: calls.defaults.give_up_ms: is an array, must be a number`},
	{schemaFault, `{"calls":{"defaults":{"retry_on":"full"}}}`, `1:23: calls.defaults.retry_on: is a string, must be an array`},
	{schemaFault, `{"calls":{"defaults":{"retry_on":[]}}}`, `1:23: calls.defaults.retry_on: is empty; to disable retries set attempts to 1`},
	{schemaFault, `{"calls":{"defaults":{"retry_on":["timeout"]}}}`, `1:35: calls.defaults.retry_on[0]: "timeout" is none of full, unreachable, not_sent, timed_out, cut, cancelled, failed; did you mean "timed_out"?`},
	{schemaFault, `{"calls":{"defaults":{"retry_on":["full","full"]}}}`, `1:42: calls.defaults.retry_on[1]: "full" is listed twice`},
	{schemaFault, `{"calls":{"defaults":{"retry_on":[3]}}}`, `1:35: calls.defaults.retry_on[0]: is a number, must be a string`},
	{schemaFault, `{"calls":{"classes":[]}}`, `1:11: calls.classes: is an array, must be an object`},
	{schemaFault, `{"calls":{"classes":{"menu-view":3}}}`, `1:22: calls.classes.menu-view: is a number, must be an object`},
	{schemaFault, oneClass + `"retries":3}}}}`, `1:35: calls.classes.menu-view.retries: unknown key`},
	{schemaFault, `{"calls":{"routes":{}}}`, `1:11: calls.routes: is an object, must be an array`},
	{schemaFault, `{"calls":{"routes":[3]}}`, `1:21: calls.routes[0]: is a number, must be an object`},
	{schemaFault, `{"calls":{"routes":[{"match":{}}]}}`, `1:21: calls.routes[0]: name is missing`},
	{schemaFault, `{"calls":{"routes":[{"name":"","match":{}}]}}`, `1:22: calls.routes[0].name: must have 1 to 128 characters`},
	{schemaFault, `{"calls":{"routes":[{"name":"a"}]}}`, `1:21: calls.routes[0]: match is missing; {} matches every call`},
	{schemaFault, oneRoute + `"matches":{}}]}}`, `1:44: calls.routes[0].matches: unknown key; did you mean "match"?`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"klass":"x"}}]}}`, `1:42: calls.routes[0].match.klass: unknown key; did you mean "class"?`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"class":""}}]}}`, `1:42: calls.routes[0].match.class: is empty; omit it to match any class`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"number":""}}]}}`, `1:42: calls.routes[0].match.number: is empty; omit it to match any number`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"number":"7*3"}}]}}`, `1:42: calls.routes[0].match.number: "7*3": a * is valid only at the end, for any further digits`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"number":"7 3"}}]}}`, `1:42: calls.routes[0].match.number: "7 3" is not a valid called number`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"number":73}}]}}`, `1:42: calls.routes[0].match.number: is a number, must be a string`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"first_choice":-1}}]}}`, `1:42: calls.routes[0].match.first_choice: -1 is under 0`},
	{schemaFault, `{"calls":{"routes":[{"name":"a","match":{"again":1}}]}}`, `1:42: calls.routes[0].match.again: is a number, must be true or false`},
	{schemaFault, `{"calls":{"budget":{"ratio":0}}}`, `1:21: calls.budget.ratio: 0 is not over 0 and up to 1`},
	{schemaFault, `{"calls":{"budget":{"ratio":1.5}}}`, `1:21: calls.budget.ratio: 1.5 is not over 0 and up to 1`},
	{schemaFault, `{"calls":{"budget":{"min_per_s":0}}}`, `1:21: calls.budget.min_per_s: 0 is under 1`},
	{schemaFault, `{"calls":{"budget":{"burst":100000}}}`, `1:21: calls.budget.burst: 100000 is over 10000`},
	{schemaFault, `{"calls":{"budget":{"percent":20}}}`, `1:21: calls.budget.percent: unknown key`},
	{schemaFault, `{"calls":{"budget":0.2}}`, `1:11: calls.budget: is a number, must be an object`},
	{schemaFault, `{"calls":{"second_copies":"no"}}`, `1:11: calls.second_copies: is a string, must be true or false`},
	{schemaFault, `{"store":{"dir":3}}`, `1:11: store.dir: is a number, must be a string`},
	{schemaFault, `{"store":{"dir":"d","sync":"allways"}}`, `1:21: store.sync: "allways" is neither always nor interval; did you mean "always"?`},
	{schemaFault, `{"store":{"sync":"always"}}`, `1:11: store.sync: is set without dir, whose writes it controls`},
	{schemaFault, `{"fleet":3}`, `1:2: fleet: is a number, must be an object`},
	{schemaFault, `{"fleet":{"bind":"127.0.0.1:0"}}`, `1:2: fleet: zone is missing`},
	{schemaFault, `{"fleet":{"zone":"a"}}`, `1:2: fleet: bind is missing`},
	{decoderFault, `{"fleet":{"zone":"a","bind":"host:7946"}}`, `1:22: fleet.bind: "host:7946" is not IP:PORT`},
	{schemaFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","sedes":[]}}`, `1:43: fleet.sedes: unknown key; did you mean "seeds"?`},
	{decoderFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","key_file":"none"}}`, `1:43: fleet.key_file: open none: no such file or directory`},
	{schemaFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","register_bytes_per_s":10}}`, `1:43: fleet.register_bytes_per_s: 10 is under 1000`},
	{schemaFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","group":7}}`, `1:43: fleet.group: is a number, must be a string`},
	{schemaFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","group":"` + strings.Repeat("x", 65) + `"}}`, `1:43: fleet.group: has 65 characters, over 64`},
	{decoderFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","reap_after":"soon"}}`, `1:43: fleet.reap_after: "soon" is not a duration of a second or more, such as 90s or 10m`},
	{schemaFault, `{"store":{"via":[{"address":"a:1"}]}}`, `1:18: store.via[0]: address or through is missing`},
	{schemaFault, `{"store":{"join":1}}`, `1:11: store.join: is a number, must be true or false`},
	{schemaFault, `{"store":{"join":true}}`, `1:2: store.listen: is missing; join requires it`},
	{schemaFault, `{"records":{}}`, `1:2: records: dir is missing`},
	{schemaFault, `{"records":{"dir":""}}`, `1:13: records.dir: is empty`},
	{schemaFault, `{"records":{"dir":"r","max_mb":0}}`, `1:23: records.max_mb: 0 is under 1`},
	{schemaFault, `{"records":{"dir":"r","max_age":"3 days"}}`, `1:23: records.max_age: "3 days" is not a duration of a minute or more, such as 90m or 72h`},
	{schemaFault, `{"records":{"dir":"r","max_age":72}}`, `1:23: records.max_age: is a number, must be a string`},
	{schemaFault, `{"records":{"dir":"r","segments":2}}`, `1:23: records.segments: unknown key`},
	{decoderFault, `{"records":{"dir":"r","max_age":"3s"}}`, `1:23: records.max_age: "3s" is not a duration of a minute or more, such as 90m or 72h`},
	{schemaFault, `{"console":{"listen":1}}`, `1:13: console.listen: is a number, must be a string`},
	{decoderFault, `{"console":{"listen":"0.0.0.0:99"}}`, `1:13: console.listen: "0.0.0.0" is no loopback address`},
	{decoderFault, `{"console":{"listen":"unix:"}}`, `1:13: console.listen: no path after unix:`},
	{decoderFault, `{"calls":{"second_copies":true}}`, `1:11: calls.second_copies: true is refused: a call would have two attempts out at once, which the deployment's settings (bounds.second-copies) forbid`},
	{decoderFault, "{\"calls\":{\"defaults\":{\"attempts\":2,\n\"attempts\":3}}}", `2:1: calls.defaults.attempts: duplicate key, first in line 1`},
	{decoderFault, "{\"calls\":{},\n\"calls\":{}}", `2:1: calls: duplicate key, first in line 1`},
	{decoderFault, oneRoute + `"attempts":6}]}}`, `1:44: calls.routes[0].attempts: 6 is over 5, the most that the deployment allows`},
	{decoderFault, `{"calls":{"classes":{"diet-oder":{}}}}`, `1:22: calls.classes.diet-oder: the settings name no such class: "diet-oder"; did you mean "diet-order"?`},
	{decoderFault, `{"calls":{"routes":[{"name":"a","match":{"class":"voice"}}]}}`, `1:42: calls.routes[0].match.class: the settings name no such class: "voice"`},
	{decoderFault, oneRoute + `"attempts":1},{"name":"b","match":{"class":"menu-view"},"attempts":2}]}}`, `1:58: calls.routes[1]: "b" can never match: routes[0] ("a") before it takes all its calls`},
	{decoderFault, `{"calls":{"routes":[{"name":"a","match":{"number":"7*"}},{"name":"b","match":{"number":"73"}}]}}`, `1:58: calls.routes[1]: "b" can never match: routes[0] ("a") before it takes all its calls`},
	{decoderFault, `{"calls":{"routes":[{"name":"a","match":{"again":true}},{"name":"b","match":{"again":false}},{"name":"c","match":{}}]}}`, `1:94: calls.routes[2]: "c" can never match: routes[0] ("a") with routes[1] ("b") before it takes all its calls`},
	{decoderFault, `{"calls":{"routes":[{"name":"a","match":{"number":"1"}},{"name":"a","match":{}}]}}`, `1:58: calls.routes[1].name: "a" is the name of routes[0] already`},
	{decoderFault, oneClass + `"give_up_ms":9001}}}}`, `1:35: calls.classes.menu-view.give_up_ms: 9001 ms outlasts the callers: menu-view calls are given up by them after 9000 ms`},
	{decoderFault, oneClass + `"attempts":1,"attempt_timeout_ms":9001}}}}`, `1:48: calls.classes.menu-view.attempt_timeout_ms: an attempt of menu-view calls lasts 9001 ms and outlasts the call, which is given up after 9000 ms`},
	{schemaFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","verdicts":{"max_out":0.6}}}`, `1:55: fleet.verdicts.max_out: 0.6 is over 0.5`},
	{schemaFault, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","verdicts":{"max":0.2}}}`, `1:55: fleet.verdicts.max: unknown key`},
	{schemaFault, `{"fleet":{"verdicts":{}}}`, `1:2: fleet: zone is missing`},
	{schemaFault, `{"fleet":{}}`, `1:2: fleet: zone is missing`},
	{schemaFault, `{"fleet":{"limits":{"rules":[]}}}`, `1:11: fleet.limits: parts is missing`},
	{schemaFault, `{"fleet":{"limits":{"parts":4}}}`, `1:11: fleet.limits: rules is missing`},
	{schemaFault, `{"fleet":{"limits":{"parts":0,"rules":[]}}}`, `1:21: fleet.limits.parts: 0 is under 1`},
	{schemaFault, `{"fleet":{"limits":{"parts":4,"rules":[{"mode":"alone","per_s":1}]}}}`, `1:40: fleet.limits.rules[0]: name is missing`},
	{schemaFault, oneLimit + `"nam":"b","per_s":1}]}}}`, `1:67: fleet.limits.rules[0].nam: unknown key; did you mean "name"?`},
	{schemaFault, oneLimit + `"burst":9}]}}}`, `1:40: fleet.limits.rules[0]: per_s and open are missing`},
	{schemaFault, oneLimit + `"per_s":-3}]}}}`, `1:67: fleet.limits.rules[0].per_s: -3 is under 0.001`},
	{schemaFault, oneLimit + `"per_s":1e9}]}}}`, `1:67: fleet.limits.rules[0].per_s: 1e9 is over 1e+06`},
	{schemaFault, oneLimit + `"per_s":"50"}]}}}`, `1:67: fleet.limits.rules[0].per_s: is a string, must be a number`},
	{schemaFault, oneLimit + `"open":0}]}}}`, `1:67: fleet.limits.rules[0].open: 0 is under 1`},
	{schemaFault, oneLimit + `"per_s":5,"reserve":1}]}}}`, `1:77: fleet.limits.rules[0].reserve: 1 is over 0.9`},
	{schemaFault, oneLimit + `"per_s":5,"match":{"number":"` + strings.Repeat("5", 129) + `"}}]}}}`, `1:86: fleet.limits.rules[0].match.number: "555`},
	{schemaFault, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a b","mode":"alone","per_s":1}]}}}`, `1:41: fleet.limits.rules[0].name: must have 1 to 64`},
	{schemaFault, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"nar","per_s":1}]}}}`, `1:52: fleet.limits.rules[0].mode: "nar" is none of alone, near, leased; did you mean "near"?`},
	{decoderFault, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"near","per_s":1}]}}}`, `1:52: fleet.limits.rules[0].mode: near needs the fleet's gossip`},
	{decoderFault, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"leased","per_s":1}]}}}`, `1:52: fleet.limits.rules[0].mode: leased needs a store`},
	{decoderFault, `{"fleet":{"limits":{"parts":9,"store":["a:1"],"rules":[{"name":"a","mode":"leased","per_s":1,"burst":8}]}}}`, `1:94: fleet.limits.rules[0].burst: 8 is under the 9 parts`},
	{decoderFault, `{"fleet":{"limits":{"parts":9,"store":["a:1"],"rules":[{"name":"a","mode":"leased","open":8}]}}}`, `1:84: fleet.limits.rules[0].open: 8 is under the 9 parts`},
	{decoderFault, oneLimit + `"per_s":5,"match":{"tenant":"ward"}}]}}}`, `1:86: fleet.limits.rules[0].match.tenant: the settings name no such tenant: "ward"`},
	{decoderFault, oneLimit + `"per_s":5,"match":{"class":"diet-ordr"}}]}}}`, `1:86: fleet.limits.rules[0].match.class: the settings name no such class: "diet-ordr"; did you mean "diet-order"?`},
	{decoderFault, oneLimit + `"per_s":5},{"name":"a","mode":"alone","per_s":1}]}}}`, `1:79: fleet.limits.rules[1].name: "a" is already the name of an earlier rule`},
	{decoderFault, oneClass + `"attempts":1,"attempt_timeout_ms":3000,"give_up_ms":2000}}}}`, `1:48: calls.classes.menu-view.attempt_timeout_ms: an attempt of menu-view calls lasts 3000 ms and outlasts the call, which is given up after 2000 ms`},
	{decoderFault, oneClass + `"attempts":5,"attempt_timeout_ms":2000}}}}`, `1:35: calls.classes.menu-view.attempts: attempt 5 of menu-view calls has no time left to stand: sent 9400 ms after the call came, with 0 ms until it is given up at 9000 ms (500 ms needed): attempt 1 at 0 timed_out at 2050, attempt 2 at 2400 timed_out at 4450, attempt 3 at 4800 timed_out at 6850, attempt 4 at 7200 timed_out at 9050`},
	{decoderFault, oneClass + `"attempt_timeout_ms":3000}}}}`, `1:35: calls.classes.menu-view.attempt_timeout_ms: attempt 4 of menu-view calls has no time left`},
	{decoderFault, oneClass + `"attempts":2,"attempt_timeout_ms":1000,"retry_wait_ms":299}}}}`, `1:74: calls.classes.menu-view.retry_wait_ms: 299 ms sends menu-view calls again within 300 ms (the release guard) of an attempt that may have run: attempt 1 at 0 timed_out at 1050`},
	{decoderFault, oneClass + `"retry_wait_ms":50,"retry_on":["cut"]}}}}`, `1:35: calls.classes.menu-view.retry_wait_ms: 50 ms sends menu-view calls again within 300 ms (the release guard) of an attempt that may have run: attempt 1 at 0 cut at 9050`},
	{decoderFault, oneClass + `"retry_wait_ms":250,"retry_jitter_ms":400}}}}`, `1:35: calls.classes.menu-view.retry_wait_ms: 250 ms sends menu-view calls again within 300 ms`},
	{decoderFault, `{"calls":{"classes":{"billing":{"retry_on":["full","cut"]}}}}`, `1:33: calls.classes.billing.retry_on: billing calls would be repeated, which their class forbids once an attempt may have run: attempt 1 at 0 cut at 9050`},
	{decoderFault, `{"calls":{"defaults":{"retry_on":["failed"]}}}`, `1:23: calls.defaults.retry_on: billing calls would be repeated, which their class forbids once an attempt may have run: attempt 1 at 0 failed at 9050`},
}

func schema(t testing.TB) *jsonschema.Schema {
	t.Helper()
	s, err := jsonschema.NewCompiler().Compile("../../deploy/beammux.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func validates(t testing.TB, s *jsonschema.Schema, text string) bool {
	t.Helper()
	v, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return s.Validate(v) == nil
}

// The error for an invalid file starts with a line that names file, line, column and key. The published schema rejects the
// faults of syntax too, and accepts the files whose faults only the decoder can detect.
func TestInvalidDeployFiles(t *testing.T) {
	if len(invalidFiles) < 60 {
		t.Errorf("only %d bad files", len(invalidFiles))
	}
	s := schema(t)
	for _, row := range invalidFiles {
		_, err := ParseDeploy("f.json", []byte(row.text), site())
		if err == nil {
			t.Errorf("accepted: %s", row.text)
			continue
		}
		if first, _, _ := strings.Cut(err.Error(), "\n"); !strings.HasPrefix(first, "f.json:"+row.want) {
			t.Errorf("%s\n got %s\nwant f.json:%s", row.text, first, row.want)
		}
		if row.kind != syntaxFault && validates(t, s, row.text) != (row.kind == decoderFault) {
			t.Errorf("schema validation: got %t for %s", row.kind != decoderFault, row.text)
		}
	}
}

// One call reports all faults, of syntax and of content, in the order of the text.
func TestAllFaultsAreReported(t *testing.T) {
	_, err := ParseDeploy("f.json", []byte(`{"zzz":1,
"calls":{"defaults":{"attempts":0},
 "classes":{"menu-view":{"attempts":7}},
 "routes":[{"name":"a","match":{}},
  {"name":"b","match":{"class":"x"}}],
 "second_copies":true}}`), site())
	want := []string{"1:2: zzz: ", "2:22: calls.defaults.attempts: 0 ", "3:26: calls.classes.menu-view.attempts: 7 is over 5",
		"5:24: calls.routes[1].match.class: ", "6:2: calls.second_copies: "}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d:\n%v", len(lines), len(want), err)
	}
	for i, line := range lines {
		if !strings.HasPrefix(line, "f.json:"+want[i]) {
			t.Errorf("line %d is %s, want %s", i+1, line, want[i])
		}
	}
}

// The shipped files are valid for the decoder and for the schema.
func TestShippedFiles(t *testing.T) {
	s := schema(t)
	example, err := Load("../../deploy/example/gatekeeper.json")
	if err != nil {
		t.Fatal(err)
	}
	for file, calls := range map[string]bool{"../../deploy/beammux.json": false, "../../deploy/example/beammux.json": true} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		d, err := LoadDeploy(file, example.Site)
		if err != nil || (d.Calls != nil) != calls {
			t.Errorf("%s: %v", file, err)
		}
		if !validates(t, s, string(text)) {
			t.Errorf("%s does not fit the schema", filepath.Base(file))
		}
	}
}

// A deploy file may enable second copies if the deployment's settings allow them.
func TestSecondCopiesWhereAllowed(t *testing.T) {
	s := site()
	s.SecondCopies = true
	if _, err := ParseDeploy("f.json", []byte(`{"calls":{"second_copies":true}}`), s); err != nil {
		t.Error(err)
	}
}
