package script

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// The processes of a fleet, by name: g1.. are gatekeepers, s1.. menu servers, front-a.. the callers of a zone, bus the
// event bus. Gatekeepers and servers are dealt out over the zones a, b, ... in turn.
const (
	Bus   = "bus"
	Front = "front-" // the names of callers begin so
)

// Zone names a zone by its place.
func Zone(i int) string { return string(rune('a' + i)) }

// Gatekeeper names one by its place from 0.
func Gatekeeper(i int) string { return "g" + strconv.Itoa(i+1) }

// Server names one by its place from 0.
func Server(i int) string { return "s" + strconv.Itoa(i+1) }

// ZoneOf gives the zone of a process, "" for the bus.
func (s *Script) ZoneOf(name string) string {
	if zone, ok := strings.CutPrefix(name, Front); ok {
		return zone
	}
	if n, err := strconv.Atoi(name[min(1, len(name)):]); err == nil && s.Zones > 0 {
		return Zone((n - 1) % s.Zones)
	}
	return ""
}

// Processes lists all of them: gatekeepers, servers, fronts, the bus.
func (s *Script) Processes() (names []string) {
	for i := range s.Gatekeepers {
		names = append(names, Gatekeeper(i))
	}
	for i := range s.Servers {
		names = append(names, Server(i))
	}
	for i := range s.Zones {
		names = append(names, Front+Zone(i))
	}
	return append(names, Bus)
}

func isGatekeeper(name string) bool { return strings.HasPrefix(name, "g") }
func isServer(name string) bool     { return strings.HasPrefix(name, "s") }

// Select gives the processes that a selector names, in their order. A selector is one or more of these, with + between:
// a process (g1, s3, bus, front-a), zone:a for all of a zone, gatekeepers, servers, fronts, all, each of the last four
// also with @a for those of a zone.
func (s *Script) Select(selector string) ([]string, error) {
	all := s.Processes()
	var out []string
	for part := range strings.SplitSeq(selector, "+") {
		group, zone, zoned := strings.Cut(strings.TrimSpace(part), "@")
		if z, ok := strings.CutPrefix(group, "zone:"); ok && !zoned {
			group, zone, zoned = "all", z, true
		}
		if zoned && !(len(zone) == 1 && zone[0] >= 'a' && int(zone[0]-'a') < s.Zones) {
			return nil, fmt.Errorf("%q: there is no zone %q", part, zone)
		}
		found := false
		for _, name := range all {
			is := group == "all" || group == "gatekeepers" && isGatekeeper(name) || group == "servers" && isServer(name) ||
				group == "fronts" && strings.HasPrefix(name, Front) || group == name && !zoned
			if !is || zoned && s.ZoneOf(name) != zone {
				continue
			}
			found = true
			if !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
		if !found {
			return nil, fmt.Errorf("%q names no process of this fleet", part)
		}
	}
	return out, nil
}

func (s *Script) fits(selector string, c class) error {
	names, err := s.Select(selector)
	if err != nil {
		return err
	}
	for _, name := range names {
		if c == onGatekeepers && !isGatekeeper(name) {
			return fmt.Errorf("%q: %s is no gatekeeper", selector, name)
		}
		if c == onServers && !isServer(name) {
			return fmt.Errorf("%q: %s is no menu server", selector, name)
		}
	}
	return nil
}
