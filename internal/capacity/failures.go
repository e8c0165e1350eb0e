package capacity

// failureRow is one line of the table of failures. Each {{UNIT FORMULA}} in its texts is replaced by the computed value.
type failureRow struct {
	Failure, Lost, Unaffected, Recovery, RecoveryLoad string
	Tests                                             string   // tests that cover the failure
	FaultKinds                                        []string // kinds of faults of the scale laboratory that cover it
	NotRun                                            string   // part of the failure that no test or run covers
}

// notRun marks a failure, or a part of it, that no test or run covers.
const notRun = "not run"

// Tests that cover failures, with the size that they run: the session state machines of all 2,200 gatekeepers in virtual time,
// or real processes.
const (
	fleetFailuresTest       = "TestFleetFailures (control/session: 2,200 in virtual time, 3 seeds)"
	fleetStartsTest         = "TestFleetStartsAtOnce (control/session: 2,200 in virtual time, 3 seeds)"
	fleetWithoutControlTest = "TestFleetWithoutControl (control/session: 2,200 in virtual time, 1 seed)"
	settingsTest            = "TestSettingsWithoutControlMachines (cmd/beammux: processes)"
	everyFailureTest        = "TestQuorumOfEveryFailure (every case)"
)

const (
	fullMachinesTest = "TestFleetWithFullMachines (the same)"
	admissionTest    = "TestFleetAfterAnOutageWithAdmission (control/session: 2,200 in virtual time, 3 seeds)"
)

const firstSettingsRecovery = `first settings within {{s at("start_to_in_force_max of gatekeepers", gatekeepers)}} of its start`

var failureRows = []failureRow{
	{Failure: "a gatekeeper's machine",
		Lost:         "its calls, and its menu server",
		Unaffected:   "every other gatekeeper; control does not notice",
		Recovery:     "with the machine; " + firstSettingsRecovery,
		RecoveryLoad: "one session",
		FaultKinds:   []string{"restart"}, NotRun: "a lost machine under calls"},
	{Failure: "a control machine (2 machines fail a day)",
		Lost:         "its {{sessions share}}, for seconds",
		Unaffected:   "calls; writes (any two of the 13 may be lost)",
		Recovery:     "killed: 1.1 s; silent: 5.2 to 5.7 s",
		RecoveryLoad: "the other machine of the zone has {{sessions min(gatekeepers / zones, session_bound)}}, as many as it may; the others of the zone go on within the region; 204 new ones a second at most",
		Tests:        fleetFailuresTest + "; " + fullMachinesTest},
	{Failure: "the same machine returns",
		Lost: "nothing", Unaffected: "everything",
		Recovery:     "sessions are even again in 56 to 61 s",
		RecoveryLoad: "14 new sessions a second at most",
		Tests:        fleetFailuresTest},
	{Failure: "240 restarts a day",
		Lost:         "that gatekeeper's calls that it could not end",
		Unaffected:   "every other gatekeeper; with a folder, the last good revision at its own start",
		Recovery:     firstSettingsRecovery,
		RecoveryLoad: "a new session each {{s 86400 / restarts_per_day}}",
		FaultKinds:   []string{"restart"}},
	{Failure: "a rack or a switch",
		Lost:       "what stands there; two control machines of a zone stand in two racks, or it is a zone",
		Unaffected: "writes, while three voters are left",
		Recovery:   "as for each of its machines", RecoveryLoad: "the sum of theirs",
		Tests: "as for machines", FaultKinds: []string{"lose-rack"}},
	{Failure: "a zone",
		Lost:         "{{gatekeepers gatekeepers / zones}} with their calls, 2 or 3 control machines, at most one voter",
		Unaffected:   "the other zones; writes",
		Recovery:     "its control machines alone, killed: 2.0 s; silent: 9.2 to 9.8 s",
		RecoveryLoad: "{{sessions gatekeepers / zones}} move: 107 new ones a second at most at a machine; 56 to 63 s until even after the return",
		Tests:        fleetFailuresTest + "; " + everyFailureTest,
		FaultKinds:   []string{"kill-zone", "lose-zone"}},
	{Failure: "a region is cut off for an hour",
		Lost:         "its settings are old for the hour; writes from there",
		Unaffected:   "calls everywhere, with the last good revision; writes in the other two",
		Recovery:     "{{s in_force_within}} after the heal is allowed",
		RecoveryLoad: "{{sessions gatekeepers / regions}} resume; {{number 3600 * changes_per_day / 86400}} changes to bring, within the history (1,024 transactions)",
		Tests:        everyFailureTest,
		FaultKinds:   []string{"cut-region"}, NotRun: "an hour (the runs cut it for 60 s, one with the 117 changes of an hour)"},
	{Failure: "a region's control machines are lost",
		Lost: "{{sessions gatekeepers / regions}}, for seconds", Unaffected: "calls; writes",
		Recovery:     "killed: 4.3 to 4.6 s; silent: 13.4 to 13.8 s",
		RecoveryLoad: "75 new sessions a second at most at a machine, 305 sessions",
		Tests:        fleetFailuresTest},
	{Failure: "all regions parted from each other",
		Lost:       "writes, everywhere: no part has three voters",
		Unaffected: "calls with the last good revision; reads",
		Recovery:   "an election after the first heal", RecoveryLoad: "as for a region",
		Tests: "TestQuorumOfPartedRegions", NotRun: "the times"},
	{Failure: "the leader is lost",
		Lost:         "writes, for an election; its sessions",
		Unaffected:   "calls; reads and sessions at the other 12",
		Recovery:     "0.4 to 0.8 s until somebody stands for election (defaultElectionTimeout, internal/store), longer if votes split",
		RecoveryLoad: "as for a control machine",
		FaultKinds:   []string{"kill-leader"}},
	{Failure: "a control machine is paused for 10 s",
		Lost:         "its sessions stand still for {{s heartbeat_within}}, then move",
		Unaffected:   "calls; everything else; as leader, as above",
		Recovery:     "5.2 to 5.7 s, as a silent machine",
		RecoveryLoad: "as a control machine, and its return",
		Tests:        fleetFailuresTest,
		FaultKinds:   []string{"pause-control", "pause-leader"}},
	{Failure: "regions 20 ms apart each way (no failure)",
		Lost: "nothing", Unaffected: "everything", Recovery: "at once", RecoveryLoad: "none",
		FaultKinds: []string{"latency"}},
	{Failure: "all gatekeepers start at once",
		Lost:         "nothing",
		Unaffected:   "calls: with the last good revision from the folder, else from the file",
		Recovery:     "2.9 to 3.2 s at 50 admitted a second; by hand {{s gatekeepers / zones / (2 * session_rate)}} without the burst",
		RecoveryLoad: "{{sessions gatekeepers}}, each with a snapshot; 99 new ones a second at most at a machine",
		Tests:        fleetStartsTest,
		FaultKinds:   []string{"start-at-once"}},
	{Failure: "all control machines are lost",
		Lost:         "writes, and operators' commands to the store",
		Unaffected:   "calls, with the last good revision, for ever; over a restart with a folder",
		Recovery:     "3.4 to 4.7 s after the machines are back from 5 to 30 s, 8.1 s after ten minutes",
		RecoveryLoad: "99 new sessions a second at most at a machine, at 50 admitted a second",
		Tests:        fleetWithoutControlTest + "; " + admissionTest + "; " + settingsTest},
	{Failure: "all control machines are lost with their disks",
		Lost:         "writes, and the changes since the last backup",
		Unaffected:   "as above",
		Recovery:     "with store restore, as above; it raises the revisions above what gatekeepers hold",
		RecoveryLoad: "2,200 sessions, each with a snapshot",
		Tests:        "TestRemadeControlPlane (internal/scalelab: processes)",
		FaultKinds:   []string{"remake-control"}},
	{Failure: "a change that some refuse",
		Lost: "nothing", Unaffected: "they keep the last good revision; the others have the change", Recovery: "with the next good change",
		RecoveryLoad: "none", FaultKinds: []string{"refuse"}},
	{Failure: "a watcher that reads nothing",
		Lost: "its session, cut off to resume", Unaffected: "every other session", Recovery: "with its next session",
		RecoveryLoad: "one session", FaultKinds: []string{"stuck-watcher"}},
}
