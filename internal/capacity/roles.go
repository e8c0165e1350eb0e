package capacity

// Role is one kind of process or person, with the requirements that its table lists.
type Role struct {
	Table string // name in the marker on the page
	Title string
	Rows  []Row
}

// roles are the roles of the page, in order. Needs and budgets are formulas over inputs; at("SERIES", SIZE) is the value of a
// measured series.
var roles = []Role{
	{"gatekeeper", "gatekeeper", gatekeeperRows},
	{"voter", "control machine that votes", voterRows},
	{"replica", "control machine that does not vote", replicaRows},
	{"operator", "operators' commands", operatorRows},
}

// Packages that implement the mechanisms of several rows.
const (
	inventoryCarrier = "internal/inventory, internal/routing"
	scopeCarrier     = "control/scope (settings/service/S/inventory), internal/follow"
	followCarrier    = "internal/follow, control/session"
	storeCarrier     = "internal/store"
	sessionsCarrier  = "internal/store (watch sessions), control/admission"
	gossipCarrier    = "internal/fleet"
	registersCarrier = "internal/fleet, control/registers"
	limitsCarrier    = "internal/limits, control/quota"
	groupsCarrier    = "internal/fleet (group, register_bytes_per_s)"
	ejectionCarrier  = "internal/ejection, control/outlier"
	retryCarrier     = "control/retry"
	routingCarrier   = "control, internal/routing"
	figuresCarrier   = "internal/ops, internal/node"
)

var gatekeeperRows = []Row{
	{Label: "servers, whole list: connections out", Unit: "connections", Need: `at("servers.connections", gatekeepers)`, Budget: "connections_left", Carrier: inventoryCarrier},
	{Label: "servers, its part: connections out", Unit: "connections", Need: `at("servers.connections", servers_needed)`, Budget: "connections_left", Carrier: scopeCarrier},
	{Label: "servers, its part: all connections in use", Unit: "connections", Need: `connections_per_server * at("servers.connections", servers_needed)`, Budget: "connections_left", Carrier: "internal/protocol/sip"},
	{Label: "servers, whole list: memory", Unit: "B", Need: `at("servers.heap", gatekeepers)`, Budget: "gatekeeper_memory", Carrier: inventoryCarrier},
	{Label: "servers, its part: memory", Unit: "B", Need: `at("servers.heap", servers_needed)`, Budget: "gatekeeper_memory", Carrier: scopeCarrier},
	{Label: "connections in at one server, whole list", Unit: "connections", Need: "gatekeepers", Carrier: inventoryCarrier},
	{Label: "connections in at one server, its part", Unit: "connections", Need: "services_called * servers_of_service", Carrier: scopeCarrier},
	{Label: "calls not answered, whole list", Unit: "part", Need: `at("not_answered_part_at_191_per_s", gatekeepers)`, Budget: "0", Carrier: inventoryCarrier},
	{Label: "calls not answered, its part", Unit: "part", Need: `at("not_answered_part_at_191_per_s", servers_needed)`, Budget: "0", Carrier: scopeCarrier},
	{Label: "decision for a call, whole list", Unit: "us", Need: `at("decision_us", gatekeepers)`, Budget: "added_p99", Carrier: routingCarrier},
	{Label: "decision for a call, its part", Unit: "us", Need: `at("decision_us", servers_needed)`, Budget: "added_p99", Carrier: routingCarrier},
	{Label: "added to a call p50, its part", Unit: "us", Need: `1000 * at("added_p50_ms_at_191_per_s", servers_needed)`, Budget: "added_p99", Carrier: routingCarrier},
	{Label: "added to a call p99, its part", Unit: "us", Need: `1000 * at("added_p99_ms_at_191_per_s", servers_needed)`, Budget: "added_p99", Carrier: routingCarrier},
	{Label: "for comparison: a direct call, p99", Unit: "us", Need: `1000 * at("direct_p99_ms_at_191_per_s", servers_needed)`, Carrier: "no gatekeeper"},
	{Label: "added to a call p99, whole list, 16,384 descriptors", Unit: "us", Need: `1000 * at("added_p99_ms_at_191_per_s_with_16384_descriptors", gatekeepers)`, Budget: "added_p99", Carrier: inventoryCarrier},
	{Label: "added over 19 levels p50, its part", Unit: "us", Need: `1000 * at("chain19_p50_ms_at_191_per_s", servers_needed)`, Budget: "depth * added_p99", Carrier: routingCarrier},
	{Label: "added over 19 levels p99, its part", Unit: "us", Need: `1000 * at("chain19_p99_ms_at_191_per_s", servers_needed)`, Budget: "depth * added_p99", Carrier: routingCarrier},
	{Label: "deadline: what 19 levels add of it, p99", Unit: "ms", Need: `at("chain19_p99_ms_at_191_per_s", servers_needed)`, Budget: "call_deadline", Carrier: "internal/protocol/sip (X-Timer-Ms)"},
	{Label: "processor of calls, its part", Unit: "% of a core", Need: `100 * (at("core_part_at_34_servers", calls_per_gatekeeper) - at("core_part_at_34_servers", 0))`, Carrier: routingCarrier},
	{Label: "processor without calls, its part", Unit: "% of a core", Need: `100 * at("core_part_at_34_servers", 0)`, Budget: "gatekeeper_processor", Carrier: routingCarrier},
	{Label: "processor without calls, whole list", Unit: "% of a core", Need: `100 * at("core_part_at_2200_servers_with_16384_descriptors", 0)`, Budget: "gatekeeper_processor", Carrier: inventoryCarrier},
	{Label: "memory of the process under calls, its part", Unit: "B", Need: `1000000 * at("resident_mb", servers_needed)`, Carrier: routingCarrier},
	{Label: "descriptors of the process under calls, its part", Unit: "connections", Need: `at("descriptors_held", servers_needed)`, Budget: "descriptors", Carrier: scopeCarrier},
	{Label: "descriptors of the process, whole list", Unit: "connections", Need: `at("descriptors_held_with_16384_descriptors", gatekeepers)`, Budget: "descriptors", Carrier: inventoryCarrier},
	{Label: "retries at the last of 19 levels", Unit: "times", Need: "retry_amplification", Budget: "amplification", Carrier: retryCarrier + " at each level; nothing across levels"},
	{Label: "membership and one topic: bytes sent", Unit: "B/s", Need: `at("gossip.bytes_sent", gatekeepers)`, Budget: "gatekeeper_bytes", Carrier: gossipCarrier},
	{Label: "membership and one topic, 64 members: bytes sent", Unit: "B/s", Need: `at("gossip.bytes_sent", 64)`, Budget: "gatekeeper_bytes", Carrier: gossipCarrier},
	{Label: "membership and one topic: datagrams sent", Unit: "1/s", Need: `at("gossip.packets_sent", gatekeepers)`, Carrier: gossipCarrier},
	{Label: "membership and one topic: processor", Unit: "% of a core", Need: `at("gossip.processor", gatekeepers)`, Budget: "gatekeeper_processor", Carrier: gossipCarrier},
	{Label: "membership and one topic: memory", Unit: "B", Need: `at("gossip.heap", gatekeepers)`, Budget: "gatekeeper_memory", Carrier: gossipCarrier},
	{Label: "gossip by service, registers bounded: bytes sent, most", Unit: "B/s", Need: `at("gossip_bytes_per_s_sent_max of gatekeepers with membership+registers+groups", gatekeepers)`, Budget: "gatekeeper_bytes", Carrier: groupsCarrier},
	{Label: "gossip by service: processor", Unit: "% of a core", Need: `100 * at("cpu_share_max of gatekeepers with membership+registers+groups", gatekeepers)`, Budget: "gatekeeper_processor", Carrier: groupsCarrier},
	{Label: "gossip by service: memory", Unit: "B", Need: `at("resident_max of gatekeepers with membership+registers+groups", gatekeepers)`, Budget: "gatekeeper_memory", Carrier: groupsCarrier},
	{Label: "gossip by service: registers that count, mean part", Unit: "part", Need: `at("registers_that_count_part_mean of gatekeepers with membership+registers+groups", gatekeepers)`, Carrier: groupsCarrier},
	{Label: "gossip by service: registers of rates, pace", Unit: "s", Need: "group_register_pace", Budget: "register_stale", Carrier: groupsCarrier},
	{Label: "gossip by service: registers of outlier ejection, pace", Unit: "s", Need: "group_evidence_pace", Budget: "evidence_stale", Carrier: groupsCarrier},
	{Label: "registers of rates: pace", Unit: "s", Need: "register_pace", Budget: "register_stale", Carrier: registersCarrier},
	{Label: "registers: origins refused", Unit: "origins", Need: `at("registers_refused", gatekeepers)`, Budget: "0", Carrier: registersCarrier},
	{Label: "outlier ejection: pace of its registers", Unit: "s", Need: "evidence_pace", Budget: "evidence_stale", Carrier: ejectionCarrier},
	{Label: "outlier ejection: one round, 34 members", Unit: "us", Need: `at("judge_round_service_us", servers_of_service)`, Budget: "1000000 * judge_every", Carrier: ejectionCarrier},
	{Label: "outlier ejection: one round, all members", Unit: "us", Need: `at("judge_round_service_us", gatekeepers)`, Budget: "1000000 * judge_every", Carrier: ejectionCarrier},
	{Label: "outlier ejection: one round, 400 members", Unit: "us", Need: `at("judge_round_service_us", 400)`, Budget: "1000000 * judge_every", Carrier: ejectionCarrier},
	{Label: "shared limits, leased: requests", Unit: "1/s", Need: "1 / lease_every", Carrier: limitsCarrier},
	{Label: "configuration: in force p100", Unit: "s", Need: `at("in_force_from_commit_max of settings", gatekeepers)`, Budget: "in_force_within", Carrier: followCarrier, PreviousCarrier: Missing},
	{Label: "configuration: in force p99", Unit: "s", Need: `at("in_force_from_commit_p99 of settings", gatekeepers)`, Budget: "in_force_within", Carrier: followCarrier},
	{Label: "configuration: bytes received", Unit: "B/s", Need: `at("settings_bytes_per_s_received_max of gatekeepers", gatekeepers)`, Budget: "gatekeeper_bytes", Carrier: followCarrier},
	{Label: "configuration: bytes sent", Unit: "B/s", Need: `at("settings_bytes_per_s_sent_max of gatekeepers", gatekeepers)`, Budget: "gatekeeper_bytes", Carrier: followCarrier},
	{Label: "configuration: processor", Unit: "% of a core", Need: `100 * at("cpu_share_max of gatekeepers", gatekeepers)`, Budget: "gatekeeper_processor", Carrier: followCarrier},
	{Label: "configuration: memory", Unit: "B", Need: `at("resident_max of gatekeepers", gatekeepers)`, Budget: "gatekeeper_memory", Carrier: followCarrier},
	{Label: "configuration: messages received", Unit: "1/s", Need: "1 / heartbeat_every + changes_per_s", Carrier: followCarrier},
	{Label: "configuration: messages sent", Unit: "1/s", Need: "1 / heartbeat_every + changes_per_s", Carrier: followCarrier},
	{Label: "configuration: first settings after a start, p100", Unit: "s", Need: `at("start_to_in_force_max of gatekeepers", gatekeepers)`, Budget: "in_force_within", Carrier: followCarrier},
	{Label: "configuration: connections", Unit: "connections", Need: "1", Budget: "connections_left", Carrier: followCarrier},
	{Label: "metrics: bytes sent", Unit: "B/s", Need: `at("telemetry.bytes", servers_needed) / scrape_every`, Budget: "gatekeeper_bytes", Carrier: figuresCarrier},
	{Label: "configuration and metrics: bytes in and out", Unit: "B/s", Need: `at("settings_bytes_per_s_received_max of gatekeepers", gatekeepers) + at("settings_bytes_per_s_sent_max of gatekeepers", gatekeepers) + at("telemetry.bytes", servers_needed) / scrape_every`, Budget: "gatekeeper_bytes", Carrier: "as above"},
	{Label: "configuration and upkeep without calls: processor", Unit: "% of a core", Need: `100 * (at("cpu_share_max of gatekeepers", gatekeepers) + at("core_part_at_34_servers", 0))`, Budget: "gatekeeper_processor", Carrier: "as above"},
	{Label: "log of a start", Unit: "B", Need: `at("log.start_bytes", servers_needed)`, Carrier: "internal/node"},
}

var voterRows = []Row{
	{Label: "shared limits, leased: processor", Unit: "% of a core", Need: `lease_requests * at("leases.processor", gatekeepers) / 10000`, Budget: "machine_processor", Carrier: limitsCarrier + " (one table)"},
	{Label: "shared limits, leased: table", Unit: "B", Need: `at("leases.table_bytes", gatekeepers)`, Carrier: limitsCarrier + " (one table)"},
	{Label: "write, network and disk p50, leader in a", Unit: "us", Need: `at("store.disk.members.commit_p50", control_machines) + 1000 * min(round_trip_a_b, round_trip_a_c)`, Budget: "write_within", Carrier: storeCarrier},
	{Label: "write, network and disk p99, leader in a", Unit: "us", Need: `at("store.disk.members.commit_p99", control_machines) + 1000 * min(round_trip_a_b, round_trip_a_c)`, Budget: "write_within", Carrier: storeCarrier},
	{Label: "writes: processor of all 13 together", Unit: "% of a core", Need: `changes_per_s * at("store.disk.members.commit_processor", control_machines) / 10000`, Budget: "machine_processor", Carrier: storeCarrier},
	{Label: "leader: bytes sent, writes and heartbeats", Unit: "B/s", Need: `changes_per_s * at("store.disk.members.commit_bytes", control_machines) + at("store.disk.members.idle_bytes", control_machines)`, Budget: "machine_bytes", Carrier: storeCarrier},
	{Label: "leader: messages sent while nothing is written", Unit: "1/s", Need: `at("store.disk.members.idle_messages", control_machines)`, Carrier: storeCarrier},
	{Label: "log, a day's changes of 1 KB", Unit: "B", Need: `86400 * changes_per_s * at("store.log_bytes", 1000)`, Carrier: storeCarrier + "/journal"},
	{Label: "snapshot: bytes", Unit: "B", Need: `at("store.snapshot_bytes", store_records)`, Budget: "machine_memory", Carrier: storeCarrier},
	{Label: "snapshot: time", Unit: "us", Need: `at("store.snapshot_time", store_records)`, Budget: "write_within", Carrier: storeCarrier},
	{Label: "a new member's catch-up: time", Unit: "us", Need: `at("store.catch_up_time", store_records)`, Budget: "1000000 * in_force_within", Carrier: storeCarrier},
	{Label: "a new member's catch-up: bytes", Unit: "B", Need: `at("store.catch_up_bytes", store_records)`, Carrier: storeCarrier},
	{Label: "sessions, most at a machine", Unit: "sessions", Need: `at("sessions_max of control machines", gatekeepers)`, Budget: "share_borne", Carrier: sessionsCarrier},
	{Label: "the busiest of 13: processor", Unit: "% of a core", Need: `100 * at("cpu_share_max of control machines", gatekeepers)`, Budget: "machine_processor", Carrier: sessionsCarrier},
	{Label: "the busiest of 13: processor at twice its share of sessions", Unit: "% of a core", Need: `100 * at("cpu_share_max of control machines", share_factor * gatekeepers)`, Budget: "machine_processor", Carrier: sessionsCarrier},
	{Label: "the busiest of 13: memory, few records", Unit: "B", Need: `at("resident_max of control machines", gatekeepers)`, Budget: "machine_memory", Carrier: sessionsCarrier},
	{Label: "the busiest of 13: memory at twice its share of sessions", Unit: "B", Need: `at("resident_max of control machines", share_factor * gatekeepers)`, Budget: "machine_memory", Carrier: sessionsCarrier},
	{Label: "sessions, zone of two machines, one lost", Unit: "sessions", Need: "min(gatekeepers / zones, session_bound)", Budget: "share_borne", Carrier: "control/session (own zone first), control/admission (sessions)"},
	{Label: "sessions: messages in and out, twice its share", Unit: "1/s", Need: "2 * share_borne * (1 / heartbeat_every + changes_per_s)", Carrier: sessionsCarrier},
	{Label: "the busiest of 13: descriptors", Unit: "connections", Need: `at("descriptors_max of control machines", gatekeepers)`, Budget: "descriptors", Carrier: sessionsCarrier},
	{Label: "the busiest of 13: descriptors at twice its share of sessions", Unit: "connections", Need: `at("descriptors_max of control machines", share_factor * gatekeepers)`, Budget: "descriptors", Carrier: sessionsCarrier},
}

var replicaRows = []Row{
	{Label: "sessions, most at a machine", Unit: "sessions", Need: `at("sessions_max of control machines", gatekeepers)`, Budget: "share_borne", Carrier: sessionsCarrier},
	{Label: "the middle of 13: processor", Unit: "% of a core", Need: `100 * at("cpu_share_p50 of control machines", gatekeepers)`, Budget: "machine_processor", Carrier: sessionsCarrier},
	{Label: "the middle of 13: processor at twice its share of sessions", Unit: "% of a core", Need: `100 * at("cpu_share_p50 of control machines", share_factor * gatekeepers)`, Budget: "machine_processor", Carrier: sessionsCarrier},
	{Label: "sessions, zone of two machines, one lost", Unit: "sessions", Need: "min(gatekeepers / zones, session_bound)", Budget: "share_borne", Carrier: "control/session (own zone first), control/admission (sessions)"},
	{Label: "sessions: messages in and out, twice its share", Unit: "1/s", Need: "2 * share_borne * (1 / heartbeat_every + changes_per_s)", Carrier: sessionsCarrier},
	{Label: "sessions: bytes sent", Unit: "B/s", Need: `at("session_bytes_per_s_sent of control machines", gatekeepers)`, Budget: "machine_bytes", Carrier: sessionsCarrier},
	{Label: "sessions: bytes sent at twice its share of sessions", Unit: "B/s", Need: `at("session_bytes_per_s_sent of control machines", share_factor * gatekeepers)`, Budget: "machine_bytes", Carrier: sessionsCarrier},
	{Label: "the middle of 13: memory, few records", Unit: "B", Need: `at("resident_p50 of control machines", gatekeepers)`, Budget: "machine_memory", Carrier: sessionsCarrier},
	{Label: "the middle of 13: memory at twice its share of sessions", Unit: "B", Need: `at("resident_p50 of control machines", share_factor * gatekeepers)`, Budget: "machine_memory", Carrier: sessionsCarrier},
	{Label: "the middle of 13: descriptors", Unit: "connections", Need: `at("descriptors_p50 of control machines", gatekeepers)`, Budget: "descriptors", Carrier: sessionsCarrier},
	{Label: "the middle of 13: descriptors at twice its share of sessions", Unit: "connections", Need: `at("descriptors_p50 of control machines", share_factor * gatekeepers)`, Budget: "descriptors", Carrier: sessionsCarrier},
	{Label: "its share of the log: bytes received", Unit: "B/s", Need: `(changes_per_s * at("store.disk.members.commit_bytes", control_machines) + at("store.disk.members.idle_bytes", control_machines)) / (control_machines - 1)`, Budget: "machine_bytes", Carrier: storeCarrier},
	{Label: "snapshot: bytes", Unit: "B", Need: `at("store.snapshot_bytes", store_records)`, Budget: "machine_memory", Carrier: storeCarrier},
	{Label: "catch-up as a new member: time", Unit: "us", Need: `at("store.catch_up_time", store_records)`, Budget: "1000000 * in_force_within", Carrier: storeCarrier},
	{Label: "writes slowed by the 8: p50 against none", Unit: "times", Need: `at("store.disk.members.commit_p50", control_machines) / at("store.disk.members.commit_p50", voters)`, Carrier: storeCarrier},
}

var operatorRows = []Row{
	{Label: "store put: one write, leader in a, p99", Unit: "us", Need: `at("store.disk.members.commit_p99", control_machines) + 1000 * min(round_trip_a_b, round_trip_a_c)`, Budget: "operator_wait", Carrier: storeCarrier},
	{Label: "store put, 13 processes, no network delay, p99", Unit: "us", Need: `1000000 * at("put_p99 of settings", gatekeepers)`, Budget: "operator_wait", Carrier: storeCarrier},
	{Label: "store list, store backup: bytes", Unit: "B", Need: `at("store.snapshot_bytes", store_records)`, Carrier: storeCarrier},
	{Label: "figures of all gatekeepers: bytes", Unit: "B/s", Need: `gatekeepers * at("telemetry.bytes", servers_needed) / scrape_every`, Budget: "collector_bytes", Carrier: figuresCarrier + "; collector of the operators"},
	{Label: "figures of one gatekeeper: time", Unit: "us", Need: `at("telemetry.time", servers_needed)`, Budget: "operator_wait", Carrier: figuresCarrier},
	{Label: "fleet members by gossip: members listed", Unit: "members", Need: "gatekeepers", Carrier: gossipCarrier + " (does not reach this size)"},
	{Label: "fleet view: who holds which revision", Unit: "us", Need: `at("fleet_view_us", gatekeepers)`, Budget: "operator_wait", Carrier: sessionsCarrier},
}
