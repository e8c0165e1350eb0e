package capacity

// failureRow is one line of the table of failures. {{UNIT FORMULA}} in its texts is computed.
type failureRow struct{ What, Lost, GoesOn, Right, Load, Run string }

const notRun = "not run"

// Tests that show rows, with their size: the session machine of all 2,200 in virtual time, or real processes.
const (
	fleetFailures = "TestFleetFailures (control/session: 2,200 in virtual time, 3 seeds)"
	fleetStarts   = "TestFleetStartsAtOnce (control/session: 2,200 in virtual time, 3 seeds)"
	fleetWithout  = "TestFleetWithoutControl (control/session: 2,200 in virtual time, 1 seed)"
	fifty         = "TestFiftyGatekeepers (internal/scalelab: 50 and 5 processes)"
	settings      = "TestSettingsWithoutControlMachines (cmd/beammux: processes)"
	every         = "TestQuorumOfEveryFailure (enumerated)"
)

var failureRows = []failureRow{
	{"a gatekeeper's machine",
		"its calls, and its menu server",
		"every other gatekeeper; control does not notice",
		"with the machine; first settings within {{s at(\"start_to_in_force_max of gatekeepers\", gatekeepers)}} of its start",
		"one session", "start: lab scale at 2,200; a lost machine under calls: " + notRun},
	{"a control machine (two machines fail a day)",
		"its {{sessions share}}, for seconds",
		"calls; writes (any two of the 13 may be lost)",
		"killed: 1.1 s; silent: 5.2 to 5.7 s",
		"the other machine of the zone has {{sessions gatekeepers / zones}}; 204 new ones a second at most", fleetFailures},
	{"the same machine returns", "nothing", "everything",
		"sessions are even again in 56 to 61 s", "14 new sessions a second at most", fleetFailures},
	{"240 restarts a day",
		"that gatekeeper's calls that it could not end",
		"every other gatekeeper; with a folder, the last good revision at its own start",
		"first settings within {{s at(\"start_to_in_force_max of gatekeepers\", gatekeepers)}} of its start",
		"a new session each {{s 86400 / restarts_per_day}}", "start: lab scale at 2,200; 240 in two minutes: " + notRun},
	{"a rack or a switch", "what stands there; two control machines of a zone stand in two racks, or it is a zone",
		"writes, while three voters are left", "as for each of its machines", "the sum of theirs", notRun},
	{"a zone", "{{gatekeepers gatekeepers / zones}} with their calls, 2 or 3 control machines, at most one voter",
		"the other zones; writes", "its control machines alone killed: 2.0 s, silent: 9.2 to 9.8 s",
		"{{sessions gatekeepers / zones}} move: 107 new ones a second at most at a machine; 56 to 63 s until even after the return",
		fleetFailures + "; quorum: " + every},
	{"a region is cut off for an hour",
		"its settings are old for the hour; writes from there",
		"calls everywhere, with the last good revision; writes in the other two",
		"{{s in_force_within}} after the heal is allowed",
		"{{sessions gatekeepers / regions}} resume; {{number 3600 * changes_per_day / 86400}} changes to bring, within the history (1,024 transactions)",
		"quorum: " + every + "; an hour, or 60 s at 2,200: " + notRun},
	{"a region's control machines are lost", "{{sessions gatekeepers / regions}}, for seconds", "calls; writes",
		"killed: 4.3 to 4.6 s; silent: 13.4 to 13.8 s", "75 new sessions a second at most at a machine, 305 sessions", fleetFailures},
	{"all regions parted from each other", "writes, everywhere: no part has three voters",
		"calls with the last good revision; reads", "an election after the first heal",
		"as for a region", "quorum: TestQuorumOfPartedRegions; times: " + notRun},
	{"the leader is lost", "writes, for an election; its sessions",
		"calls; reads and sessions at the other 12",
		"0.4 to 0.8 s until somebody stands for election (electAfter, internal/store), longer if votes split",
		"as for a control machine", fifty + "; at 2,200: " + notRun},
	{"a control machine is paused for 10 s", "its sessions stand still for {{s heartbeat_within}}, then move",
		"calls; everything else; as leader, as above", "5.2 to 5.7 s, as a silent machine",
		"as a control machine, and its return", fleetFailures + "; a paused process: " + notRun},
	{"all gatekeepers start at once", "nothing", "calls: with the last good revision from the folder, else from the file",
		"3.2 to 3.4 s at 50 admitted a second; by hand {{s gatekeepers / zones / (2 * session_rate)}} without the burst",
		"{{sessions gatekeepers}}, each with a snapshot; 99 new ones a second at most at a machine", fleetStarts + "; processes: " + notRun},
	{"all control machines are lost", "writes, and operators' commands to the store",
		"calls, with the last good revision, for ever; over a restart with a folder", "8.1 s after the machines are back",
		"58 new sessions a second at most at a machine", fleetWithout + "; " + settings},
}
