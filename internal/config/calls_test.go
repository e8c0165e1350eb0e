package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"beammux/control"
)

// site has the classes of the examples: two that may be repeated and one that may not.
func site() *control.Site {
	class := control.Class{Deadline: 9e6, Worth: 1, Repeat: control.Idempotent}
	once := class
	once.Repeat = control.NonIdempotent
	return &control.Site{ClassNames: []string{"menu-view", "diet-order", "billing"}, Settings: control.Settings{
		Classes: []control.Class{class, class, once}, AttemptsCap: 5, ReleaseGuard: 300000, ResendGap: 500000}}
}

const (
	oneRoute   = `{"calls":{"routes":[{"name":"a","match":{},`
	limit      = `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"alone",`
	controlled = `{"control":{"replicas":[{"name":"c1","address":"a:1"}],`
	oneClass   = `{"calls":{"classes":{"menu-view":{`
	formOnly   = "form"  // the schema finds it too
	rulesOnly  = "rules" // only the proof can tell
	textOnly   = "text"  // not a JSON text, or one that the schema's reader takes otherwise
)

// badFiles has every way to get a file wrong that we could invent, each with the line that is told first.
var badFiles = []struct{ kind, text, want string }{
	{textOnly, ``, `1:1: the file is empty`},
	{textOnly, "  \n ", `1:1: the file is empty`},
	{textOnly, `{`, `1:2: the file ends before it is whole`},
	{textOnly, "{\"calls\":{\"defaults\":{\"attempts\":3,\n", `2:1: the file ends before it is whole`},
	{textOnly, `{"calls":{"defaults":{"attem`, `1:29: the file ends before it is whole`},
	{textOnly, `{"calls":{}} {}`, `1:14: not JSON: invalid character '{' after top-level value`},
	{textOnly, `{"calls":{},}`, `1:13: not JSON: invalid character '}'`},
	{textOnly, `{'calls':{}}`, `1:2: not JSON: invalid character '\''`},
	{textOnly, "{\"calls\":{\"defaults\":{\"attempts\":\xff}}}", `1:34: not UTF-8`},
	{textOnly, `{"calls":{"defaults":{"attempts":03}}}`, `1:35: not JSON: invalid character '3'`},
	{textOnly, `{"calls":{"defaults":{"attempts":NaN}}}`, `1:34: not JSON: invalid character 'N'`},
	{textOnly, `// limits` + "\n{}", `1:1: not JSON: invalid character '/'`},
	{textOnly, strings.Repeat("[", 40) + strings.Repeat("]", 40), `1:17: nested more than 16 deep`},
	{formOnly, `[]`, `1:1: is an array, must be an object`},
	{formOnly, `3`, `1:1: is a number, must be an object`},
	{formOnly, `{"sip":{"tpc":""},"zzz":1}`, `1:9: sip.tpc: unknown key; did you mean "tcp"?`},
	{formOnly, `{"zzz":1}`, `1:2: zzz: unknown key`},
	{formOnly, "{\n  \"Calls\": {}}", `2:3: Calls: unknown key; did you mean "calls"?`},
	{formOnly, `{"sip":{"udp":5070}}`, `1:9: sip.udp: is a number, must be a string`},
	{formOnly, `{"sip":[]}`, `1:2: sip: is an array, must be an object`},
	{formOnly, `{"store":{"peers":{}}}`, `1:11: store.peers: is an object, must be an array`},
	{formOnly, `{"store":{"listen":"a:1","peers":[{"node":"a"}]}}`, `1:35: store.peers[0]: node or address is missing`},
	{formOnly, `{"store":{"peers":[{"node":"a","address":"a:1"}]}}`, `1:2: store.listen: missing beside peers`},
	{formOnly, `{"store":{"listen":"a:1","peers":[{"node":"a","address":"a:1","voter":"no"}]}}`, `1:63: store.peers[0].voter: is a string, must be true or false`},
	{formOnly, `{"store":{"listen":"a:1","peers":[{"node":"a","address":"a:1","voter":false}]}}`, `1:26: store.peers: none of them votes`},
	{formOnly, `{"control":[]}`, `1:2: control: is an array, must be an object`},
	{formOnly, `{"control":{}}`, `1:2: control: replicas is missing`},
	{formOnly, `{"control":{"replicas":{}}}`, `1:13: control.replicas: is an object, must be an array`},
	{formOnly, `{"control":{"replicas":[]}}`, `1:13: control.replicas: is empty`},
	{formOnly, `{"control":{"replicas":[{"name":"c1"}]}}`, `1:25: control.replicas[0]: name or address is missing`},
	{formOnly, `{"control":{"replicas":[{"name":"c1","address":"host"}]}}`, `1:38: control.replicas[0].address: "host" is not HOST:PORT`},
	{rulesOnly, `{"control":{"replicas":[{"name":"c1","address":"host:70000"}]}}`, `1:38: control.replicas[0].address: "host:70000" is not HOST:PORT`},
	{rulesOnly, `{"control":{"replicas":[{"name":"c1","address":"a:1"},{"name":"c1","address":"a:2"}]}}`, `1:56: control.replicas[1].name: "c1" is the name of replicas[0] already`},
	{formOnly, `{"control":{"replicas":[3]}}`, `1:25: control.replicas[0]: is a number, must be an object`},
	{formOnly, controlled + `"zon":"z"}}`, `1:56: control.zon: unknown key; did you mean "zone"?`},
	{formOnly, controlled + `"zone":"a/b"}}`, `1:56: control.zone: must have 1 to 64 characters without white space and /`},
	{formOnly, controlled + `"service":""}}`, `1:56: control.service: must have 1 to 64`},
	{formOnly, controlled + `"region":3}}`, `1:56: control.region: is a number, must be a string`},
	{formOnly, controlled + `"name":"` + strings.Repeat("g", 65) + `"}}`, `1:56: control.name: must have 1 to 64`},
	{formOnly, controlled + `"dir":true}}`, `1:56: control.dir: is true or false, must be a string`},
	{formOnly, `{"inventory":["a.csv"]}`, `1:2: inventory: is an array, must be a string`},
	{formOnly, `{"calls":null}`, `1:2: calls: is null, must be an object`},
	{formOnly, `{"calls":[]}`, `1:2: calls: is an array, must be an object`},
	{formOnly, `{"calls":{"default":{}}}`, `1:11: calls.default: unknown key; did you mean "defaults"?`},
	{formOnly, `{"calls":{"defaults":{"atempts":3}}}`, `1:23: calls.defaults.atempts: unknown key; did you mean "attempts"?`},
	{formOnly, `{"calls":{"defaults":{"attempt_timeout":3}}}`, `1:23: calls.defaults.attempt_timeout: unknown key; did you mean "attempt_timeout_ms"?`},
	{formOnly, `{"calls":{"defaults":{"attempts":0}}}`, `1:23: calls.defaults.attempts: 0 is under 1`},
	{formOnly, `{"calls":{"defaults":{"attempts":-3}}}`, `1:23: calls.defaults.attempts: -3 is under 1`},
	{formOnly, `{"calls":{"defaults":{"attempts":2.5}}}`, `1:23: calls.defaults.attempts: 2.5 is not a whole number`},
	{formOnly, `{"calls":{"defaults":{"attempts":"3"}}}`, `1:23: calls.defaults.attempts: is a string, must be a number`},
	{formOnly, `{"calls":{"defaults":{"attempts":null}}}`, `1:23: calls.defaults.attempts: is null, must be a number`},
	{formOnly, `{"calls":{"defaults":{"attempts":true}}}`, `1:23: calls.defaults.attempts: is true or false, must be a number`},
	{formOnly, `{"calls":{"defaults":{"attempts":1e30}}}`, `1:23: calls.defaults.attempts: 1e30 is over 100`},
	{formOnly, `{"calls":{"defaults":{"attempts":99999999999999999999}}}`, `1:23: calls.defaults.attempts: 99999999999999999999 is over 100`},
	{formOnly, `{"calls":{"defaults":{"attempt_timeout_ms":0}}}`, `1:23: calls.defaults.attempt_timeout_ms: 0 is under 1`},
	{formOnly, `{"calls":{"defaults":{"attempt_timeout_ms":0.5}}}`, `1:23: calls.defaults.attempt_timeout_ms: 0.5 is under 1`},
	{formOnly, `{"calls":{"defaults":{"attempt_timeout_ms":600001}}}`, `1:23: calls.defaults.attempt_timeout_ms: 600001 is over 600000`},
	{formOnly, `{"calls":{"defaults":{"retry_wait_ms":-1}}}`, `1:23: calls.defaults.retry_wait_ms: -1 is under 1`},
	{formOnly, `{"calls":{"defaults":{"retry_jitter_ms":"100ms"}}}`, `1:23: calls.defaults.retry_jitter_ms: is a string, must be a number`},
	{formOnly, `{"calls":{"defaults":{"give_up_ms":[9000]}}}`, `1:23: calls.defaults.give_up_ms: is an array, must be a number`},
	{formOnly, `{"calls":{"defaults":{"retry_on":"full"}}}`, `1:23: calls.defaults.retry_on: is a string, must be an array`},
	{formOnly, `{"calls":{"defaults":{"retry_on":[]}}}`, `1:23: calls.defaults.retry_on: is empty; for one attempt alone set attempts to 1`},
	{formOnly, `{"calls":{"defaults":{"retry_on":["timeout"]}}}`, `1:35: calls.defaults.retry_on[0]: "timeout" is none of full, unreachable, not_sent, timed_out, cut, cancelled, failed; did you mean "timed_out"?`},
	{formOnly, `{"calls":{"defaults":{"retry_on":["full","full"]}}}`, `1:42: calls.defaults.retry_on[1]: "full" stands twice`},
	{formOnly, `{"calls":{"defaults":{"retry_on":[3]}}}`, `1:35: calls.defaults.retry_on[0]: is a number, must be a string`},
	{formOnly, `{"calls":{"classes":[]}}`, `1:11: calls.classes: is an array, must be an object`},
	{formOnly, `{"calls":{"classes":{"menu-view":3}}}`, `1:22: calls.classes.menu-view: is a number, must be an object`},
	{formOnly, oneClass + `"retries":3}}}}`, `1:35: calls.classes.menu-view.retries: unknown key`},
	{formOnly, `{"calls":{"routes":{}}}`, `1:11: calls.routes: is an object, must be an array`},
	{formOnly, `{"calls":{"routes":[3]}}`, `1:21: calls.routes[0]: is a number, must be an object`},
	{formOnly, `{"calls":{"routes":[{"match":{}}]}}`, `1:21: calls.routes[0]: name is missing`},
	{formOnly, `{"calls":{"routes":[{"name":"","match":{}}]}}`, `1:22: calls.routes[0].name: must have 1 to 128 characters`},
	{formOnly, `{"calls":{"routes":[{"name":"a"}]}}`, `1:21: calls.routes[0]: match is missing; {} takes every call`},
	{formOnly, oneRoute + `"matches":{}}]}}`, `1:44: calls.routes[0].matches: unknown key; did you mean "match"?`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"klass":"x"}}]}}`, `1:42: calls.routes[0].match.klass: unknown key; did you mean "class"?`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"class":""}}]}}`, `1:42: calls.routes[0].match.class: is empty; leave it out to match any class`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"number":""}}]}}`, `1:42: calls.routes[0].match.number: is empty; leave it out to match any number`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"number":"7*3"}}]}}`, `1:42: calls.routes[0].match.number: "7*3": a * stands only at the end, for any further digits`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"number":"7 3"}}]}}`, `1:42: calls.routes[0].match.number: "7 3" can't be a number called`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"number":73}}]}}`, `1:42: calls.routes[0].match.number: is a number, must be a string`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"first_choice":-1}}]}}`, `1:42: calls.routes[0].match.first_choice: -1 is under 0`},
	{formOnly, `{"calls":{"routes":[{"name":"a","match":{"again":1}}]}}`, `1:42: calls.routes[0].match.again: is a number, must be true or false`},
	{formOnly, `{"calls":{"budget":{"ratio":0}}}`, `1:21: calls.budget.ratio: 0 is not over 0 and up to 1`},
	{formOnly, `{"calls":{"budget":{"ratio":1.5}}}`, `1:21: calls.budget.ratio: 1.5 is not over 0 and up to 1`},
	{formOnly, `{"calls":{"budget":{"min_per_s":0}}}`, `1:21: calls.budget.min_per_s: 0 is under 1`},
	{formOnly, `{"calls":{"budget":{"burst":100000}}}`, `1:21: calls.budget.burst: 100000 is over 10000`},
	{formOnly, `{"calls":{"budget":{"percent":20}}}`, `1:21: calls.budget.percent: unknown key`},
	{formOnly, `{"calls":{"budget":0.2}}`, `1:11: calls.budget: is a number, must be an object`},
	{formOnly, `{"calls":{"second_copies":"no"}}`, `1:11: calls.second_copies: is a string, must be true or false`},
	{formOnly, `{"store":{"dir":3}}`, `1:11: store.dir: is a number, must be a string`},
	{formOnly, `{"store":{"dir":"d","sync":"allways"}}`, `1:21: store.sync: "allways" is neither always nor interval; did you mean "always"?`},
	{formOnly, `{"store":{"sync":"always"}}`, `1:11: store.sync: says how dir is written, and dir is missing`},
	{formOnly, `{"fleet":3}`, `1:2: fleet: is a number, must be an object`},
	{formOnly, `{"fleet":{"bind":"127.0.0.1:0"}}`, `1:2: fleet: zone is missing`},
	{formOnly, `{"fleet":{"zone":"a"}}`, `1:2: fleet: bind is missing`},
	{rulesOnly, `{"fleet":{"zone":"a","bind":"host:7946"}}`, `1:22: fleet.bind: "host:7946" is not IP:PORT`},
	{formOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","sedes":[]}}`, `1:43: fleet.sedes: unknown key; did you mean "seeds"?`},
	{rulesOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","key_file":"none"}}`, `1:43: fleet.key_file: open none: no such file or directory`},
	{formOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","register_bytes_per_s":10}}`, `1:43: fleet.register_bytes_per_s: 10 is under 1000`},
	{formOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","group":7}}`, `1:43: fleet.group: is a number, must be a string`},
	{formOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","group":"` + strings.Repeat("x", 65) + `"}}`, `1:43: fleet.group: has 65 characters, over 64`},
	{rulesOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","reap_after":"soon"}}`, `1:43: fleet.reap_after: "soon" is no span of a second or more, as 90s or 10m`},
	{formOnly, `{"store":{"via":[{"address":"a:1"}]}}`, `1:18: store.via[0]: address or through is missing`},
	{formOnly, `{"store":{"join":1}}`, `1:11: store.join: is a number, must be true or false`},
	{formOnly, `{"store":{"join":true}}`, `1:2: store.listen: missing beside join`},
	{formOnly, `{"records":{}}`, `1:2: records: dir is missing`},
	{formOnly, `{"records":{"dir":""}}`, `1:13: records.dir: is empty`},
	{formOnly, `{"records":{"dir":"r","max_mb":0}}`, `1:23: records.max_mb: 0 is under 1`},
	{formOnly, `{"records":{"dir":"r","max_age":"3 days"}}`, `1:23: records.max_age: "3 days" is no span of a minute or more, as 90m or 72h`},
	{formOnly, `{"records":{"dir":"r","max_age":72}}`, `1:23: records.max_age: is a number, must be a string`},
	{formOnly, `{"records":{"dir":"r","segments":2}}`, `1:23: records.segments: unknown key`},
	{rulesOnly, `{"records":{"dir":"r","max_age":"3s"}}`, `1:23: records.max_age: "3s" is no span of a minute or more, as 90m or 72h`},
	{formOnly, `{"console":{"listen":1}}`, `1:13: console.listen: is a number, must be a string`},
	{rulesOnly, `{"console":{"listen":"0.0.0.0:99"}}`, `1:13: console.listen: "0.0.0.0" is no loopback address`},
	{rulesOnly, `{"console":{"listen":"unix:"}}`, `1:13: console.listen: no path after unix:`},
	{rulesOnly, `{"calls":{"second_copies":true}}`, `1:11: calls.second_copies: true is refused: a call would have two attempts out at once, which the deployment's settings (bounds.second-copies) forbid`},
	{rulesOnly, "{\"calls\":{\"defaults\":{\"attempts\":2,\n\"attempts\":3}}}", `2:1: calls.defaults.attempts: the key stands twice, first in line 1`},
	{rulesOnly, "{\"calls\":{},\n\"calls\":{}}", `2:1: calls: the key stands twice, first in line 1`},
	{rulesOnly, oneRoute + `"attempts":6}]}}`, `1:44: calls.routes[0].attempts: 6 is over 5, the most that the deployment allows`},
	{rulesOnly, `{"calls":{"classes":{"diet-oder":{}}}}`, `1:22: calls.classes.diet-oder: the settings name no such class: "diet-oder"; did you mean "diet-order"?`},
	{rulesOnly, `{"calls":{"routes":[{"name":"a","match":{"class":"voice"}}]}}`, `1:42: calls.routes[0].match.class: the settings name no such class: "voice"`},
	{rulesOnly, oneRoute + `"attempts":1},{"name":"b","match":{"class":"menu-view"},"attempts":2}]}}`, `1:58: calls.routes[1]: "b" can never match: routes[0] ("a") before it takes all its calls`},
	{rulesOnly, `{"calls":{"routes":[{"name":"a","match":{"number":"7*"}},{"name":"b","match":{"number":"73"}}]}}`, `1:58: calls.routes[1]: "b" can never match: routes[0] ("a") before it takes all its calls`},
	{rulesOnly, `{"calls":{"routes":[{"name":"a","match":{"again":true}},{"name":"b","match":{"again":false}},{"name":"c","match":{}}]}}`, `1:94: calls.routes[2]: "c" can never match: routes[0] ("a") with routes[1] ("b") before it takes all its calls`},
	{rulesOnly, `{"calls":{"routes":[{"name":"a","match":{"number":"1"}},{"name":"a","match":{}}]}}`, `1:58: calls.routes[1].name: "a" is the name of routes[0] already`},
	{rulesOnly, oneClass + `"give_up_ms":9001}}}}`, `1:35: calls.classes.menu-view.give_up_ms: 9001 ms outlasts the callers: menu-view calls are given up by them after 9000 ms`},
	{rulesOnly, oneClass + `"attempts":1,"attempt_timeout_ms":9001}}}}`, `1:48: calls.classes.menu-view.attempt_timeout_ms: an attempt of menu-view calls lasts 9001 ms and outlasts the call, which is given up after 9000 ms`},
	{formOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","verdicts":{"max_out":0.6}}}`, `1:55: fleet.verdicts.max_out: 0.6 is over 0.5`},
	{formOnly, `{"fleet":{"zone":"a","bind":"127.0.0.1:0","verdicts":{"max":0.2}}}`, `1:55: fleet.verdicts.max: unknown key`},
	{formOnly, `{"fleet":{"verdicts":{}}}`, `1:2: fleet: zone is missing`},
	{formOnly, `{"fleet":{}}`, `1:2: fleet: zone is missing`},
	{formOnly, `{"fleet":{"limits":{"rules":[]}}}`, `1:11: fleet.limits: parts is missing`},
	{formOnly, `{"fleet":{"limits":{"parts":4}}}`, `1:11: fleet.limits: rules is missing`},
	{formOnly, `{"fleet":{"limits":{"parts":0,"rules":[]}}}`, `1:21: fleet.limits.parts: 0 is under 1`},
	{formOnly, `{"fleet":{"limits":{"parts":4,"rules":[{"mode":"alone","per_s":1}]}}}`, `1:40: fleet.limits.rules[0]: name is missing`},
	{formOnly, limit + `"nam":"b","per_s":1}]}}}`, `1:67: fleet.limits.rules[0].nam: unknown key; did you mean "name"?`},
	{formOnly, limit + `"burst":9}]}}}`, `1:40: fleet.limits.rules[0]: per_s and open are missing`},
	{formOnly, limit + `"per_s":-3}]}}}`, `1:67: fleet.limits.rules[0].per_s: -3 is under 0.001`},
	{formOnly, limit + `"per_s":1e9}]}}}`, `1:67: fleet.limits.rules[0].per_s: 1e9 is over 1e+06`},
	{formOnly, limit + `"per_s":"50"}]}}}`, `1:67: fleet.limits.rules[0].per_s: is a string, must be a number`},
	{formOnly, limit + `"open":0}]}}}`, `1:67: fleet.limits.rules[0].open: 0 is under 1`},
	{formOnly, limit + `"per_s":5,"reserve":1}]}}}`, `1:77: fleet.limits.rules[0].reserve: 1 is over 0.9`},
	{formOnly, limit + `"per_s":5,"match":{"number":"` + strings.Repeat("5", 129) + `"}}]}}}`, `1:86: fleet.limits.rules[0].match.number: "555`},
	{formOnly, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a b","mode":"alone","per_s":1}]}}}`, `1:41: fleet.limits.rules[0].name: must have 1 to 64`},
	{formOnly, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"nar","per_s":1}]}}}`, `1:52: fleet.limits.rules[0].mode: "nar" is none of alone, near, leased; did you mean "near"?`},
	{rulesOnly, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"near","per_s":1}]}}}`, `1:52: fleet.limits.rules[0].mode: near needs the fleet's gossip`},
	{rulesOnly, `{"fleet":{"limits":{"parts":4,"rules":[{"name":"a","mode":"leased","per_s":1}]}}}`, `1:52: fleet.limits.rules[0].mode: leased needs a store`},
	{rulesOnly, `{"fleet":{"limits":{"parts":9,"store":["a:1"],"rules":[{"name":"a","mode":"leased","per_s":1,"burst":8}]}}}`, `1:94: fleet.limits.rules[0].burst: 8 is under the 9 parts`},
	{rulesOnly, `{"fleet":{"limits":{"parts":9,"store":["a:1"],"rules":[{"name":"a","mode":"leased","open":8}]}}}`, `1:84: fleet.limits.rules[0].open: 8 is under the 9 parts`},
	{rulesOnly, limit + `"per_s":5,"match":{"tenant":"ward"}}]}}}`, `1:86: fleet.limits.rules[0].match.tenant: the settings name no such tenant: "ward"`},
	{rulesOnly, limit + `"per_s":5,"match":{"class":"diet-ordr"}}]}}}`, `1:86: fleet.limits.rules[0].match.class: the settings name no such class: "diet-ordr"; did you mean "diet-order"?`},
	{rulesOnly, limit + `"per_s":5},{"name":"a","mode":"alone","per_s":1}]}}}`, `1:79: fleet.limits.rules[1].name: "a" is the name of a rule above already`},
	{rulesOnly, oneClass + `"attempts":1,"attempt_timeout_ms":3000,"give_up_ms":2000}}}}`, `1:48: calls.classes.menu-view.attempt_timeout_ms: an attempt of menu-view calls lasts 3000 ms and outlasts the call, which is given up after 2000 ms`},
	{rulesOnly, oneClass + `"attempts":5,"attempt_timeout_ms":2000}}}}`, `1:35: calls.classes.menu-view.attempts: attempt 5 of menu-view calls has no time left to stand: sent 9400 ms after the call came, with 0 ms until it is given up at 9000 ms (500 ms needed): attempt 1 at 0 timed_out at 2050, attempt 2 at 2400 timed_out at 4450, attempt 3 at 4800 timed_out at 6850, attempt 4 at 7200 timed_out at 9050`},
	{rulesOnly, oneClass + `"attempt_timeout_ms":3000}}}}`, `1:35: calls.classes.menu-view.attempt_timeout_ms: attempt 4 of menu-view calls has no time left`},
	{rulesOnly, oneClass + `"attempts":2,"attempt_timeout_ms":1000,"retry_wait_ms":299}}}}`, `1:74: calls.classes.menu-view.retry_wait_ms: 299 ms sends menu-view calls again within 300 ms (the release guard) of an attempt that may have run: attempt 1 at 0 timed_out at 1050`},
	{rulesOnly, oneClass + `"retry_wait_ms":50,"retry_on":["cut"]}}}}`, `1:35: calls.classes.menu-view.retry_wait_ms: 50 ms sends menu-view calls again within 300 ms (the release guard) of an attempt that may have run: attempt 1 at 0 cut at 9050`},
	{rulesOnly, oneClass + `"retry_wait_ms":250,"retry_jitter_ms":400}}}}`, `1:35: calls.classes.menu-view.retry_wait_ms: 250 ms sends menu-view calls again within 300 ms`},
	{rulesOnly, `{"calls":{"classes":{"billing":{"retry_on":["full","cut"]}}}}`, `1:33: calls.classes.billing.retry_on: billing calls would be repeated, which their class forbids once an attempt may have run: attempt 1 at 0 cut at 9050`},
	{rulesOnly, `{"calls":{"defaults":{"retry_on":["failed"]}}}`, `1:23: calls.defaults.retry_on: billing calls would be repeated, which their class forbids once an attempt may have run: attempt 1 at 0 failed at 9050`},
}

func schema(t testing.TB) *jsonschema.Schema {
	t.Helper()
	s, err := jsonschema.NewCompiler().Compile("../../deploy/beammux.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func fits(t testing.TB, s *jsonschema.Schema, text string) bool {
	t.Helper()
	v, err := jsonschema.UnmarshalJSON(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return s.Validate(v) == nil
}

// Each bad file is refused with a line that names file, line, column and key. What is wrong with its form the published
// schema finds too; what only the proof can tell it lets pass.
func TestBadFiles(t *testing.T) {
	if len(badFiles) < 60 {
		t.Errorf("only %d bad files", len(badFiles))
	}
	s := schema(t)
	for _, row := range badFiles {
		_, err := ParseDeploy("f.json", []byte(row.text), site())
		if err == nil {
			t.Errorf("taken: %s", row.text)
			continue
		}
		if first, _, _ := strings.Cut(err.Error(), "\n"); !strings.HasPrefix(first, "f.json:"+row.want) {
			t.Errorf("%s\n got %s\nwant f.json:%s", row.text, first, row.want)
		}
		if row.kind != textOnly && fits(t, s, row.text) != (row.kind == rulesOnly) {
			t.Errorf("the schema says %t to %s", row.kind != rulesOnly, row.text)
		}
	}
}

// One run tells all faults, in the order of the text, those of form and those of meaning.
func TestAllFaultsAtOnce(t *testing.T) {
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

// The files that ship are good, by the decoder and by the schema.
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
		if !fits(t, s, string(text)) {
			t.Errorf("%s does not fit the schema", filepath.Base(file))
		}
	}
}

// A deployment whose settings allow second copies may have them.
func TestSecondCopiesWhereAllowed(t *testing.T) {
	s := site()
	s.SecondCopies = true
	if _, err := ParseDeploy("f.json", []byte(`{"calls":{"second_copies":true}}`), s); err != nil {
		t.Error(err)
	}
}
