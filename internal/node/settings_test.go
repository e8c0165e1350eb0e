package node

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"beammux/control/scope"
	"beammux/internal/config"
	"beammux/internal/follow"
	"beammux/internal/jsonfile"
)

// nodeWithoutControl starts a gatekeeper that follows an unreachable control machine.
func nodeWithoutControl(t *testing.T) *Node {
	t.Helper()
	return testNode(t, &config.Deploy{Control: &config.Control{Zone: "z1", Replicas: []config.Replica{{Name: "c1", Address: "127.0.0.1:1"}}}})
}

// effectiveSettings describes the settings in force, as they apply to calls.
type effectiveSettings struct{ calls, limits, servers string }

// awaitEffective waits until the core has applied all changes and returns the settings in force.
func (n *Node) awaitEffective() effectiveSettings {
	n.waitForList()
	done := make(chan struct{})
	n.core.Post(func() { close(done) })
	<-done
	var rules []string
	for _, r := range n.limits.Status().Rules {
		rules = append(rules, r.Name)
	}
	var names []string
	n.settings.mu.Lock()
	for _, h := range n.settings.inForce().hosts {
		names = append(names, h.Name)
	}
	n.settings.mu.Unlock()
	listed := make(chan int)
	n.core.Post(func() { listed <- int(n.core.Stats().Targets.Load()) })
	if count := <-listed; count != len(names) {
		names = append(names, fmt.Sprintf("(but %d on the list)", count))
	}
	return effectiveSettings{n.calls.Load().(string), strings.Join(rules, " "), strings.Join(names, " ")}
}

func callsText(attempts int) string { return fmt.Sprintf(`{"defaults":{"attempts":%d}}`, attempts) }

func limitsText(name string) string {
	return fmt.Sprintf(`{"parts":1,"rules":[{"name":%q,"mode":"alone","per_s":9}]}`, name)
}

func inventoryText(name string) string { return ".csv\nname,address\n" + name + ",127.0.0.1:9\n" }

// callsVersion returns the version of the calls section with this number of attempts, as a gatekeeper logs it; 0 means no
// section.
func callsVersion(t require.TestingT, n *Node, attempts int) string {
	if attempts == 0 {
		return "none"
	}
	p, err := config.ParseCalls("k", []byte(callsText(attempts)), n.cfg.Site)
	require.NoError(t, err)
	return p.Version()
}

// After any sequence of reloads and record changes, each section is that of the records if they contain it, else that of the
// file. A candidate with one invalid section changes nothing.
func TestSettingsFromFileAndRecords(t *testing.T) {
	n := nodeWithoutControl(t)
	n.removalDelay = 0 // a reload then changes the list at once; see TestServersThatAnInventoryNoLongerNamesAreRemovedLater
	rapid.Check(t, func(t *rapid.T) {
		type values struct {
			calls             int
			limits, inventory string
		}
		var file, records values
		names := rapid.SampledFrom([]string{"", "a", "b", "c"})
		require.NoError(t, n.applySettings(follow.Candidate{}))
		n.reloadSections(sections{})
		draw := func(t *rapid.T) values {
			return values{rapid.IntRange(0, 4).Draw(t, "attempts"), names.Draw(t, "limits"), names.Draw(t, "inventory")}
		}
		applyRecords := func(t *rapid.T, v values, change func(candidate *follow.Candidate)) error {
			c := follow.Candidate{Revision: 1, Sections: map[string]scope.Record{}}
			put := func(section, value string) {
				c.Sections[section] = scope.Record{Key: "settings/all/" + section, Value: []byte(value), Revision: 1}
			}
			if v.calls > 0 {
				put(scope.SectionCalls, callsText(v.calls))
			}
			if v.limits != "" {
				put(scope.SectionLimits, limitsText(v.limits))
			}
			if v.inventory != "" {
				put(scope.SectionInventory, inventoryText(v.inventory))
			}
			if change != nil {
				change(&c)
			}
			return n.applySettings(c)
		}
		t.Repeat(map[string]func(*rapid.T){
			"reload": func(t *rapid.T) {
				file = draw(t)
				var s sections
				var err error
				if file.calls > 0 {
					s.calls, err = config.ParseCalls("f", []byte(callsText(file.calls)), n.cfg.Site)
					require.NoError(t, err)
				}
				if file.limits != "" {
					s.limits, err = config.ParseLimits("f", []byte(limitsText(file.limits)), n.cfg.Site, config.Features{})
					require.NoError(t, err)
				}
				if file.inventory != "" {
					s.hosts, err = config.ParseInventory("f", []byte(inventoryText(file.inventory)))
					require.NoError(t, err)
				}
				n.reloadSections(s)
			},
			"records": func(t *rapid.T) {
				records = draw(t)
				require.NoError(t, applyRecords(t, records, nil))
			},
			"bad records": func(t *rapid.T) {
				bad := rapid.SampledFrom(scope.Sections()).Draw(t, "section")
				err := applyRecords(t, draw(t), func(c *follow.Candidate) {
					c.Sections[bad] = scope.Record{Key: "settings/zone/z1/" + bad, Value: []byte("{\n\"x\":}")}
				})
				var faults jsonfile.Faults
				require.ErrorAs(t, err, &faults)
				require.Equal(t, "settings/zone/z1/"+bad, faults[0].File)
			},
			"": func(t *rapid.T) {
				recordOrFile := func(record, file string) string {
					if record != "" {
						return record
					}
					return file
				}
				calls := records.calls
				if calls == 0 {
					calls = file.calls
				}
				want := effectiveSettings{callsVersion(t, n, calls), recordOrFile(records.limits, file.limits), recordOrFile(records.inventory, file.inventory)}
				require.Equal(t, want, n.awaitEffective())
			},
		})
	})
}

// With concurrent reloads, record changes and status requests, calls and limits in force always stem from the same change.
func TestSettingsChangeAtomically(t *testing.T) {
	n := nodeWithoutControl(t)
	versions := map[string]string{"a": callsVersion(t, n, 1), "b": callsVersion(t, n, 2)}
	candidate := func(name string, attempts int) follow.Candidate {
		return follow.Candidate{Revision: 1, Sections: map[string]scope.Record{
			scope.SectionCalls:  {Key: "settings/all/calls", Value: []byte(callsText(attempts))},
			scope.SectionLimits: {Key: "settings/all/limits", Value: []byte(limitsText(name))}}}
	}
	require.NoError(t, n.applySettings(candidate("a", 1)))
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			next := candidate("a", 1)
			if i%2 == 0 {
				next = candidate("b", 2)
			}
			if err := n.applySettings(next); err != nil {
				t.Error(err)
			}
		}
	})
	work.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				n.reloadSections(sections{})
				n.Fleet()
				n.WriteMetrics(new(strings.Builder))
			}
		}
	})
	for began := time.Now(); time.Since(began) < time.Second; {
		found := make(chan [2]string, 1)
		n.core.Post(func() {
			found <- [2]string{n.limits.Status().Rules[0].Name, n.core.Limits().Version()}
		})
		pair := <-found
		require.Equal(t, versions[pair[0]], pair[1], "calls and limits of different changes")
	}
	close(stop)
	work.Wait()
}

// Limits that require facilities that the gatekeeper lacks are refused, and the error lists all faults of all sections.
func TestSettingsRefused(t *testing.T) {
	n := nodeWithoutControl(t)
	err := n.applySettings(follow.Candidate{Revision: 9, Sections: map[string]scope.Record{
		scope.SectionLimits: {Key: "settings/zone/z1/limits", Value: []byte(`{"parts":1,"rules":[{"name":"a","mode":"near","per_s":9}]}`)},
		scope.SectionCalls:  {Key: "settings/all/calls", Value: []byte("{\"defaults\":\n{\"attempts\":99}}")}}})
	var refused *SettingsFault
	require.ErrorAs(t, err, &refused)
	require.NotEmpty(t, refused.Advice())
	lines := strings.Split(err.Error(), "\n")
	require.Len(t, lines, 2)
	require.True(t, strings.HasPrefix(lines[0], "settings/all/calls:2:2: calls.defaults.attempts: 99 is over"), lines[0])
	require.True(t, strings.HasPrefix(lines[1], "settings/zone/z1/limits:1:33: fleet.limits.rules[0].mode: near needs the fleet's gossip"), lines[1])
	require.EqualValues(t, 1, n.settings.refusals.Load())
}

// A start without stored settings and control machines serves with the file's sections, within its time bound.
func TestStartWithoutControlMachines(t *testing.T) {
	inventory := filepath.Join(t.TempDir(), "servers.csv")
	require.NoError(t, os.WriteFile(inventory, []byte("name,address\ns-1,127.0.0.1:9\n"), 0o600))
	began := time.Now()
	n := testNode(t, &config.Deploy{Inventory: inventory, Control: &config.Control{Replicas: []config.Replica{{Name: "c1", Address: "127.0.0.1:1"}}}})
	require.Less(t, time.Since(began), settingsTimeout+5*time.Second) // the machine may be busy
	require.Equal(t, effectiveSettings{"none", "", "s-1"}, n.awaitEffective())
	require.Equal(t, "n1", n.settingsName())
}

// The metrics of limits are those of the rules in force, also after many changes.
func TestMetricsFollowLimits(t *testing.T) {
	n := nodeWithoutControl(t)
	for i := range 50 {
		c := follow.Candidate{Sections: map[string]scope.Record{scope.SectionLimits: {Key: "settings/all/limits", Value: []byte(limitsText(fmt.Sprint("r", i)))}}}
		require.NoError(t, n.applySettings(c))
	}
	n.awaitEffective()
	var text strings.Builder
	n.WriteMetrics(&text)
	require.Contains(t, text.String(), `proxy_fleet_limit_rate{rule="r49"} 9`)
	require.NotContains(t, text.String(), `rule="r48"`)
	require.Equal(t, 50, int(n.settings.changes.Load()))
	require.False(t, slices.Contains(n.exporter.set.ListMetricNames(), `proxy_fleet_limit_rate{rule="r0"}`))
}
