package script

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Names of the processes of a fleet: gatekeepers are g1, g2, ..., menu servers s1, s2, ..., the callers of a zone front-a,
// front-b, ..., and the event bus is bus. Gatekeepers and servers are assigned to the zones a, b, ... in turn.
const (
	Bus   = "bus"
	Front = "front-" // prefix of the names of callers
)

// Zone returns the name of the zone with index i, counted from 0.
func Zone(i int) string { return string(rune('a' + i)) }

// Gatekeeper returns the name of the gatekeeper with index i, counted from 0.
func Gatekeeper(i int) string { return "g" + strconv.Itoa(i+1) }

// Server returns the name of the menu server with index i, counted from 0.
func Server(i int) string { return "s" + strconv.Itoa(i+1) }

// ZoneOf returns the zone of a process, or "" for the bus.
func (s *Script) ZoneOf(name string) string {
	if zone, ok := strings.CutPrefix(name, Front); ok {
		return zone
	}
	if n, err := strconv.Atoi(name[min(1, len(name)):]); err == nil && s.Zones > 0 {
		return Zone((n - 1) % s.Zones)
	}
	return ""
}

// Processes returns the names of all processes in this order: gatekeepers, servers, fronts, the bus.
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

// Select returns the processes that a selector matches, in the order of its terms. A selector is one or more terms joined
// by "+": a process (g1, s3, bus, front-a), zone:a for all processes of a zone, or gatekeepers, servers, fronts or all, each
// optionally restricted to a zone, as in servers@a.
func (s *Script) Select(selector string) ([]string, error) {
	all := s.Processes()
	var selected []string
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
			matches := group == "all" || group == "gatekeepers" && isGatekeeper(name) || group == "servers" && isServer(name) ||
				group == "fronts" && strings.HasPrefix(name, Front) || group == name && !zoned
			if !matches || zoned && s.ZoneOf(name) != zone {
				continue
			}
			found = true
			if !slices.Contains(selected, name) {
				selected = append(selected, name)
			}
		}
		if !found {
			return nil, fmt.Errorf("%q matches no process of this fleet", part)
		}
	}
	return selected, nil
}

// checkSelector reports an error unless the selector matches only processes of class c.
func (s *Script) checkSelector(selector string, c class) error {
	names, err := s.Select(selector)
	if err != nil {
		return err
	}
	for _, name := range names {
		if c == onGatekeepers && !isGatekeeper(name) {
			return fmt.Errorf("%q: %s is not a gatekeeper", selector, name)
		}
		if c == onServers && !isServer(name) {
			return fmt.Errorf("%q: %s is not a menu server", selector, name)
		}
	}
	return nil
}
