package capacity

// derivations are the numbers that are computed from the inputs, in the order of the page.
var derivations = []Derivation{
	{"calls_per_gatekeeper", "calls/s", "calls_per_s / gatekeepers", "calls through one gatekeeper"},
	{"servers_of_service", "servers", "ceil(gatekeepers / services)", "servers of one service"},
	{"servers_needed", "servers", "services_called * servers_of_service", "servers that one gatekeeper needs"},
	{"connections_left", "connections", "descriptors - own_descriptors", "descriptors for callers and servers together"},
	{"changes_per_s", "1/s", "change_factor * changes_per_day / 86400", "changes a second, at the rate that is borne"},
	{"share", "sessions", "gatekeepers / control_machines", "sessions of one control machine"},
	{"share_borne", "sessions", "share_factor * share", "sessions that it has to bear"},
	{"lease_requests", "1/s", "gatekeepers / lease_every", "requests for leases of all gatekeepers"},
	{"register_pace", "s", "register_every * gatekeepers / register_members", "between two registers of rates of one member"},
	{"group_register_pace", "s", "register_every * max(1, servers_of_service / register_members)", "the same in a gossip of one service"},
	{"group_evidence_pace", "s", "evidence_every * max(1, servers_of_service / register_members)", "of outlier ejection, in a gossip of one service"},
	{"evidence_pace", "s", "evidence_every * gatekeepers / register_members", "between two registers of outlier ejection of one member"},
	{"retry_amplification", "times", "pow(1 + retry_ratio, depth)", "attempts at the last level for each call at the first"},
	{"time_per_level", "ms", "call_deadline / depth", "time that each level has, if it is shared evenly"},
	{"non_voters", "machines", "control_machines - voters", "control machines that do not vote"},
}
