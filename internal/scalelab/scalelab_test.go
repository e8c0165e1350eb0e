package scalelab

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"beammux/internal/scalelab/script"
)

// program builds this program once.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "beammux")
	build := exec.Command("go", "build", "-o", path, "./cmd/beammux")
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// What a gatekeeper may spend on control, from the numbers to plan with: 1.8% of a core, 32 MB, 6 KB a second.
const (
	budgetCPU      = 0.018
	budgetResident = 32e6
	budgetBytes    = 6000
)

// The bytes that a gatekeeper receives, by hand: each change brings two records, each of recordBytes in base64 (4 bytes for 3)
// with at most recordAround bytes of JSON around it; once a second a heartbeat with the fleet's counts comes, of at most
// heartbeatBytes. One snapshot at most is received in the measured time, by those whose machine was killed.
const (
	recordBytes    = 1024
	recordAround   = 100
	heartbeatBytes = 400
)

func bytesReceived(changesPerS, lengthS float64) float64 {
	change := 2 * (recordBytes*4/3. + recordAround)
	return change*changesPerS + heartbeatBytes + change/lengthS
}

// The standing test: 50 hollow gatekeepers follow five control machines, of which the leader is killed, while changes come
// twenty times as often as planned; every rule holds, and the cost keeps to the budget and to what it should be by hand.
func TestFiftyGatekeepers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	const length = 20 * time.Second
	o := Options{Program: program(t), Dir: t.TempDir(), Gatekeepers: 50, Control: 5, Voters: 5, Regions: 3, Zones: 6, Services: 65, HollowProcesses: 4,
		Seed: 3, Length: length, ChangesADay: 2800, Factor: 20, RecordBytes: recordBytes,
		Faults:    []script.Fault{{Kind: script.KillLeader, At: 4 * time.Second, For: 6 * time.Second}},
		Admission: Admission{SessionsPerS: 50, SessionsBurst: 50, SnapshotsPerS: 50, SnapshotsBurst: 50}}
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	t.Log("\n" + r.Table())
	require.True(t, r.Passed(), "%v %v %v", r.Judge.Counts, r.Judge.First, r.Judge.Problems)

	rate := 2800 * 20 / 86400.
	require.InDelta(t, rate*length.Seconds(), r.Settings.Changes, 4, "changes came at another pace")
	require.GreaterOrEqual(t, r.Settings.Pairs, 50*(r.Settings.Changes-1))
	require.Zero(t, r.Settings.Unjudged)
	require.Less(t, r.Settings.FromCommit.Max, within.Seconds())
	require.Len(t, r.Faults, 1)
	require.Equal(t, 50, r.Gatekeepers.ReceivedPerS.Of)

	byHand := bytesReceived(rate, length.Seconds())
	require.Less(t, byHand, float64(budgetBytes), "the derivation leaves the budget")
	require.Less(t, r.Gatekeepers.ReceivedPerS.Max, byHand)
	require.Greater(t, r.Gatekeepers.ReceivedPerS.P50, 2*recordBytes*rate/2, "too little came to be true")
	require.Less(t, r.Gatekeepers.SentPerS.Max+r.Gatekeepers.ReceivedPerS.Max, float64(budgetBytes))
	// Processor and memory are a hollow process's, the laboratory's own work in it among them: an upper bound.
	require.Less(t, r.Gatekeepers.CPUShare.Max, budgetCPU)
	require.Less(t, r.Gatekeepers.ResidentBytes.Max, budgetResident)
	requireNoProcess(t, o.Dir)
}

// All control machines are lost with their disks. A group that is made anew from a backup begins with lower revisions than the
// gatekeepers hold; raised above them by the restore, it is followed by all again, nobody goes back, and changes after it come
// into force in time.
func TestRemadeControlPlane(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes for half a minute")
	}
	o := Options{Program: program(t), Dir: t.TempDir(), Gatekeepers: 30, Control: 3, Voters: 3, Regions: 3, Zones: 3, Services: 5, HollowProcesses: 2,
		Seed: 5, Length: 14 * time.Second, ChangesADay: 2800, Factor: 40, RecordBytes: recordBytes,
		Faults:    []script.Fault{{Kind: script.RemakeControl, At: 3 * time.Second, For: time.Second}},
		Admission: Admission{SessionsPerS: 50, SessionsBurst: 50, SnapshotsPerS: 50, SnapshotsBurst: 50}}
	r, err := Run(t.Context(), o)
	require.NoError(t, err)
	t.Log("\n" + r.Table())
	require.True(t, r.Passed(), "%v %v %v", r.Judge.Counts, r.Judge.First, r.Judge.Problems)
	require.Len(t, r.Faults, 1)
	require.Contains(t, r.Faults[0].What, "2 records of a backup")
	require.GreaterOrEqual(t, r.Settings.Changes, 10)
	require.Zero(t, r.Settings.Unjudged)
	requireNoProcess(t, o.Dir)
}

// requireNoProcess says that no process works in a folder any more.
func requireNoProcess(t *testing.T, dir string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/cwd")
	require.NoError(t, err)
	for _, link := range links {
		if at, err := os.Readlink(link); err == nil {
			require.NotEqual(t, dir, at, "a process was left: %s", link)
		}
	}
}

func TestLay(t *testing.T) {
	o := Options{Gatekeepers: 2200, Control: 13, Voters: 5, Regions: 3, Zones: 6, Services: 65, Faults: []script.Fault{{Kind: script.Refuse}}}
	p := lay(&o)
	voters, zones := map[string]int{}, map[string]int{}
	for _, m := range p.machines {
		if m.voter {
			voters[m.Region]++
		}
		zones[m.Zone]++
	}
	require.Equal(t, map[string]int{"r1": 2, "r2": 2, "r3": 1}, voters, "no region may hold three of five voters")
	require.Len(t, zones, 6)
	services, refusing := map[string]int{}, 0
	for _, g := range p.gatekeepers {
		services[g.Service]++
		if g.Refuses {
			refusing++
		}
	}
	require.Len(t, services, 65)
	require.Equal(t, 220, refusing)
}

// With groups each service is a gossip of its own, with seeds of its own.
func TestGroupsByService(t *testing.T) {
	o := Options{Gatekeepers: 2200, Control: 13, Voters: 5, Regions: 3, Zones: 6, Services: 65, With: With{Membership: true, Groups: true}}
	l := &laboratory{options: &o, plan: lay(&o)}
	groups, err := l.groups()
	require.NoError(t, err)
	require.Len(t, groups, 65)
	members, seeds := 0, map[string]bool{}
	for name, g := range groups {
		require.Contains(t, []int{30, 31, 32, 33, 34, 35, 36}, g.Members, name)
		members += g.Members
		require.Len(t, g.Seeds, gossipSeeds)
		for _, seed := range g.Seeds {
			require.False(t, seeds[seed])
			seeds[seed] = true
		}
	}
	require.Equal(t, 2200, members)
	for _, g := range l.plan.gatekeepers {
		require.Equal(t, g.Service, g.Group)
	}
}

func TestOptionsAreBounded(t *testing.T) {
	good := Options{Gatekeepers: 50, Control: 13, Voters: 5, Regions: 3, Zones: 6, Services: 65, HollowProcesses: 6, Length: time.Minute, ChangesADay: 2800, Factor: 20}
	require.NoError(t, good.Check())
	for want, spoil := range map[string]func(o *Options){
		"--gatekeepers: 0 is not 1 to":       func(o *Options) { o.Gatekeepers = 0 },
		"--control: 81 is not 0 to 80":       func(o *Options) { o.Control = 81 },
		"--voters: 14 is not 1 to 13":        func(o *Options) { o.Voters = 14 },
		"--zones: 2 is not 3 to":             func(o *Options) { o.Zones = 2 },
		"--length: 0s":                       func(o *Options) { o.Length = 0 },
		"--changes-per-day":                  func(o *Options) { o.Factor = 1e9 },
		"--control: 0 needs":                 func(o *Options) { o.Control, o.Voters = 0, 0 },
		"registers ride on membership":       func(o *Options) { o.With.Registers = true },
		"groups are those of membership":     func(o *Options) { o.With.Groups = true },
		"and the faults end at 2m0s":         func(o *Options) { o.Faults = []script.Fault{{At: time.Minute, For: time.Minute}} },
		"--processes: 17 is not 1 to 16":     func(o *Options) { o.HollowProcesses = 17 },
		"--record-bytes: -1 is not 0 to 104": func(o *Options) { o.RecordBytes = -1 },
	} {
		o := good
		spoil(&o)
		require.ErrorContains(t, o.Check(), want)
	}
	require.ErrorContains(t, checkDescriptors(&Options{Gatekeepers: 1 << 40, HollowProcesses: 1}), "descriptors")
	require.NoError(t, checkDescriptors(&good))
	require.LessOrEqual(t, MostControl+MostHollow+1, MostProcesses)
}

func TestSpread(t *testing.T) {
	var values []float64
	for i := 200; i > 0; i-- {
		values = append(values, float64(i))
	}
	require.Equal(t, Spread{Mean: 100.5, P50: 100, P99: 198, Max: 200, Of: 200}, rounded(spreadOf(values)))
	require.Equal(t, Spread{Mean: 7, P50: 7, P99: 7, Max: 7, Of: 1}, spreadOf([]float64{7}))
	require.Zero(t, spreadOf(nil))
}

func rounded(s Spread) Spread {
	s.Mean = float64(int(s.Mean*1000+0.5)) / 1000
	return s
}

func TestSeries(t *testing.T) {
	report := func(n int, seed uint64, received float64) *Report {
		r := &Report{Command: "beammux lab scale --gatekeepers 50 --seed 1 --length 45s --beside some other work --json x.json", Date: "2026-12-02",
			Shape: Shape{Gatekeepers: n, Seed: seed, Control: 13}}
		r.Gatekeepers.ReceivedPerS = Spread{P50: received, P99: received, Max: received, Of: n}
		r.Judge.Held, r.Machine.Cores, r.Machine.OtherCores = true, 8, float64(seed)
		return r
	}
	reports := []*Report{report(100, 1, 11), report(50, 2, 12), report(50, 1, 10)}
	file, err := SeriesOf(reports)
	require.NoError(t, err)
	s := file.Series[0]
	require.Equal(t, "settings_bytes_per_s_received_p50", s.Name)
	require.Equal(t, []Point{{50, []float64{10, 12}, []uint64{1, 2}}, {100, []float64{11}, []uint64{1}}}, s.Points)
	require.Equal(t, "beammux lab scale --gatekeepers N --seed SEED --length 45s", s.Command)
	require.Equal(t, "other processes used 1.0 to 2.0 of 8 cores", s.Beside)

	text, err := file.Marshal()
	require.NoError(t, err)
	var again SeriesFile
	require.NoError(t, json.Unmarshal(text, &again), "%s", text)
	for i := range file.Series {
		require.Equal(t, file.Series[i].Points, again.Series[i].Points)
		require.Equal(t, file.Series[i].Name, again.Series[i].Name)
	}
	require.Len(t, again.Series, len(file.Series))

	broken := report(2200, 1, 1)
	broken.Faults, broken.Judge.Held, broken.Judge.Counts = []FaultReport{{Kind: "restart"}}, false, map[string]int{"lost": 3, "late": 0}
	file, err = SeriesOf(append(reports, broken))
	require.NoError(t, err)
	require.Len(t, file.FaultRuns, 1)
	require.Equal(t, map[string]int{"lost": 3}, file.FaultRuns[0].Broken, "a broken rule under faults is shown")
	require.Len(t, file.Series[0].Points, 2)
	text, err = file.Marshal()
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &again), "%s", text)

	reports[0].Judge.Held = false
	_, err = SeriesOf(reports)
	require.ErrorContains(t, err, "not for a series")
}
