package capacity

// failureRow is one line of the table of failures. {{UNIT FORMULA}} in its texts is computed.
type failureRow struct{ What, Lost, GoesOn, Right, Load, Run string }

const notRun = "not run"

var failureRows = []failureRow{
	{"2 machines a day ({{1/day failures_per_day}})",
		"a gatekeeper's machine: its calls; a control machine: its {{sessions share}}",
		"every other gatekeeper; writes (any two of the 13 may be lost)",
		"sessions: {{s heartbeat_within}} without a word, and the backoff",
		"{{sessions share}} move to the machines of the same zone: {{sessions gatekeepers / zones}} at the other of two", notRun},
	{"240 restarts a day ({{1/day restarts_per_day}})",
		"that gatekeeper's calls that it could not end",
		"every other gatekeeper; with a folder, the last good revision at its own start",
		"first settings after its start",
		"one new session each {{s 86400 / restarts_per_day}}", notRun},
	{"a rack or a switch", "as many machines as stand there; spread a zone's control machines over racks",
		"writes, while three voters are left", "as for each machine", "the sum of theirs", notRun},
	{"a zone", "{{gatekeepers gatekeepers / zones}}, and 2 or 3 control machines, at most one voter",
		"the others; writes", "nothing to mend outside the zone",
		"none until it returns; then its gatekeepers all connect, to its 2 machines in {{s gatekeepers / zones / (2 * session_rate)}} at the admitted rate", notRun},
	{"regions part for an hour", "writes from the smaller side; its settings are old for the hour",
		"calls everywhere with the last good revision; writes in the part with three voters (two regions of a, b, c)",
		"17 s after the heal is allowed", "{{sessions gatekeepers / regions}} resume, from a revision or by a snapshot; {{number 3600 * changes_per_day / 86400}} changes to bring", notRun},
	{"all regions parted from each other", "writes, everywhere: no part holds three voters",
		"calls everywhere with the last good revision; reads", "an election after the first heal", "as above", notRun},
	{"the leader is lost", "writes for an election; its sessions",
		"reads and sessions at the other 12", "0.4 to 0.8 s for a first election (electAfter, internal/store), longer if votes split",
		"as for a control machine", notRun},
	{"a control machine is paused", "its sessions stand still for {{s heartbeat_within}}, then move",
		"everything else; as leader, as above", "at its wake it lags and must not serve old revisions",
		"as a lost machine, and its return", notRun},
	{"all gatekeepers start at once", "nothing", "calls: with the last good revision from the folder, else from the file",
		"{{s gatekeepers / zones / (2 * session_rate)}} in a zone of two machines, at the admitted rate",
		"{{sessions gatekeepers}}, each with a snapshot", notRun},
	{"all control machines are lost", "writes, operators' commands to the store",
		"calls, with the last good revision, for ever; over a restart with a folder", "when three voters are back",
		"as all starting at once", notRun},
}
