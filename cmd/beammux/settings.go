package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"beammux/internal/follow"
)

// printSettings prints the settings of the control machines that a gatekeeper has in force, those that it refused, and the state
// of its session.
func printSettings(w io.Writer, s *follow.Status) {
	fmt.Fprintf(w, "\nsettings: revision %d in force, %d seen, %s\n", s.InForce, s.Seen, freshness(s))
	for _, section := range s.Sections {
		fmt.Fprintf(w, "  %s\t%s\trevision %d\n", section.Section, section.Key, section.Revision)
	}
	if r := s.Refused; r != nil {
		fmt.Fprintf(w, "  refused: revision %d, the last good settings stay in force\n", r.Revision)
		for line := range strings.SplitSeq(r.Fault, "\n") {
			fmt.Fprintf(w, "    %s\n", line)
		}
		printAdvice(w, r.Advice)
	}
	if s.Fault != "" {
		fmt.Fprintf(w, "  no session: %s\n", s.Fault)
		printAdvice(w, s.Advice)
	}
	if s.DirFault != "" {
		fmt.Fprintf(w, "  not stored, lost at a restart: %s\n", s.DirFault)
	}
	if c := s.Fleet; c != nil {
		fmt.Fprintf(w, "  of %d gatekeepers %d hold revision %d, %d are behind (the longest for %s), %d refused it\n",
			c.Sessions, c.Holding, c.Revision, c.Behind, c.OldestBehind.Round(time.Millisecond), c.Refused)
	}
}

// freshness describes when the settings in force were last confirmed as current.
func freshness(s *follow.Status) string {
	switch {
	case s.RestoredFromDir:
		return "restored after the restart, not yet confirmed by a control machine"
	case s.Age < 0:
		return "no control machine has answered yet"
	case !s.Connected:
		return fmt.Sprintf("current %s ago, no session now", s.Age.Round(time.Millisecond))
	}
	return fmt.Sprintf("current %s ago by %s", s.Age.Round(time.Millisecond), s.Replica)
}

// printAdvice prints a hint for the operator, if there is one.
func printAdvice(w io.Writer, advice string) {
	if advice != "" {
		fmt.Fprintf(w, "    %s\n", advice)
	}
}
