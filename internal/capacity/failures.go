package capacity

// failureRow is one line of the table of failures. {{UNIT FORMULA}} in its texts is computed.
type failureRow struct {
	What, Lost, GoesOn, Right, Load string
	Tests                           string   // that show it
	Kinds                           []string // faults of the scale laboratory that show it
	NotRun                          string   // what of it nothing shows
}

const notRun = "not run"

// Tests that show rows, with their size: the session machine of all 2,200 in virtual time, or real processes.
const (
	fleetFailures = "TestFleetFailures (control/session: 2,200 in virtual time, 3 seeds)"
	fleetStarts   = "TestFleetStartsAtOnce (control/session: 2,200 in virtual time, 3 seeds)"
	fleetWithout  = "TestFleetWithoutControl (control/session: 2,200 in virtual time, 1 seed)"
	settings      = "TestSettingsWithoutControlMachines (cmd/beammux: processes)"
	every         = "TestQuorumOfEveryFailure (every case)"
)

const (
	fleetFull      = "TestFleetWithFullMachines (the same)"
	fleetAdmission = "TestFleetAfterAnOutageWithAdmission (control/session: 2,200 in virtual time, 3 seeds)"
)

const firstSettings = `first settings within {{s at("start_to_in_force_max of gatekeepers", gatekeepers)}} of its start`

var failureRows = []failureRow{
	{What: "a gatekeeper's machine",
		Lost:   "its calls, and its menu server",
		GoesOn: "every other gatekeeper; control does not notice",
		Right:  "with the machine; " + firstSettings,
		Load:   "one session",
		Kinds:  []string{"restart"}, NotRun: "a lost machine under calls"},
	{What: "a control machine (2 machines fail a day)",
		Lost:   "its {{sessions share}}, for seconds",
		GoesOn: "calls; writes (any two of the 13 may be lost)",
		Right:  "killed: 1.1 s; silent: 5.2 to 5.7 s",
		Load:   "the other machine of the zone has {{sessions min(gatekeepers / zones, session_bound)}}, as many as it may; the others of the zone go on within the region; 204 new ones a second at most",
		Tests:  fleetFailures + "; " + fleetFull},
	{What: "the same machine returns",
		Lost: "nothing", GoesOn: "everything",
		Right: "sessions are even again in 56 to 61 s",
		Load:  "14 new sessions a second at most",
		Tests: fleetFailures},
	{What: "240 restarts a day",
		Lost:   "that gatekeeper's calls that it could not end",
		GoesOn: "every other gatekeeper; with a folder, the last good revision at its own start",
		Right:  firstSettings,
		Load:   "a new session each {{s 86400 / restarts_per_day}}",
		Kinds:  []string{"restart"}},
	{What: "a rack or a switch",
		Lost:   "what stands there; two control machines of a zone stand in two racks, or it is a zone",
		GoesOn: "writes, while three voters are left",
		Right:  "as for each of its machines", Load: "the sum of theirs",
		Tests: "as for machines", Kinds: []string{"lose-rack"}},
	{What: "a zone",
		Lost:   "{{gatekeepers gatekeepers / zones}} with their calls, 2 or 3 control machines, at most one voter",
		GoesOn: "the other zones; writes",
		Right:  "its control machines alone, killed: 2.0 s; silent: 9.2 to 9.8 s",
		Load:   "{{sessions gatekeepers / zones}} move: 107 new ones a second at most at a machine; 56 to 63 s until even after the return",
		Tests:  fleetFailures + "; " + every,
		Kinds:  []string{"kill-zone", "lose-zone"}},
	{What: "a region is cut off for an hour",
		Lost:   "its settings are old for the hour; writes from there",
		GoesOn: "calls everywhere, with the last good revision; writes in the other two",
		Right:  "{{s in_force_within}} after the heal is allowed",
		Load:   "{{sessions gatekeepers / regions}} resume; {{number 3600 * changes_per_day / 86400}} changes to bring, within the history (1,024 transactions)",
		Tests:  every,
		Kinds:  []string{"cut-region"}, NotRun: "an hour (the runs cut it for 60 s, one with the 117 changes of an hour)"},
	{What: "a region's control machines are lost",
		Lost: "{{sessions gatekeepers / regions}}, for seconds", GoesOn: "calls; writes",
		Right: "killed: 4.3 to 4.6 s; silent: 13.4 to 13.8 s",
		Load:  "75 new sessions a second at most at a machine, 305 sessions",
		Tests: fleetFailures},
	{What: "all regions parted from each other",
		Lost:   "writes, everywhere: no part has three voters",
		GoesOn: "calls with the last good revision; reads",
		Right:  "an election after the first heal", Load: "as for a region",
		Tests: "TestQuorumOfPartedRegions", NotRun: "the times"},
	{What: "the leader is lost",
		Lost:   "writes, for an election; its sessions",
		GoesOn: "calls; reads and sessions at the other 12",
		Right:  "0.4 to 0.8 s until somebody stands for election (electAfter, internal/store), longer if votes split",
		Load:   "as for a control machine",
		Kinds:  []string{"kill-leader"}},
	{What: "a control machine is paused for 10 s",
		Lost:   "its sessions stand still for {{s heartbeat_within}}, then move",
		GoesOn: "calls; everything else; as leader, as above",
		Right:  "5.2 to 5.7 s, as a silent machine",
		Load:   "as a control machine, and its return",
		Tests:  fleetFailures,
		Kinds:  []string{"pause-control", "pause-leader"}},
	{What: "regions 20 ms apart each way (no failure)",
		Lost: "nothing", GoesOn: "everything", Right: "at once", Load: "none",
		Kinds: []string{"latency"}},
	{What: "all gatekeepers start at once",
		Lost:   "nothing",
		GoesOn: "calls: with the last good revision from the folder, else from the file",
		Right:  "2.9 to 3.2 s at 50 admitted a second; by hand {{s gatekeepers / zones / (2 * session_rate)}} without the burst",
		Load:   "{{sessions gatekeepers}}, each with a snapshot; 99 new ones a second at most at a machine",
		Tests:  fleetStarts,
		Kinds:  []string{"start-at-once"}},
	{What: "all control machines are lost",
		Lost:   "writes, and operators' commands to the store",
		GoesOn: "calls, with the last good revision, for ever; over a restart with a folder",
		Right:  "3.4 to 4.7 s after the machines are back from 5 to 30 s, 8.1 s after ten minutes",
		Load:   "99 new sessions a second at most at a machine, at 50 admitted a second",
		Tests:  fleetWithout + "; " + fleetAdmission + "; " + settings},
	{What: "all control machines are lost with their disks",
		Lost:   "writes, and the changes since the last backup",
		GoesOn: "as above",
		Right:  "with store restore, as above; it raises the revisions above what gatekeepers hold",
		Load:   "2,200 sessions, each with a snapshot",
		Tests:  "TestRemadeControlPlane (internal/scalelab: processes)",
		Kinds:  []string{"remake-control"}},
	{What: "a change that some refuse",
		Lost: "nothing", GoesOn: "they keep the last good revision; the others have the change", Right: "with the next good change",
		Load: "none", Kinds: []string{"refuse"}},
	{What: "a watcher that reads nothing",
		Lost: "its session, cut off to resume", GoesOn: "every other session", Right: "with its next session",
		Load: "one session", Kinds: []string{"stuck-watcher"}},
}
