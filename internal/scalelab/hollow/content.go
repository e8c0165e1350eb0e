package hollow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Each change of a run writes the sections "calls" and "limits" for all gatekeepers. The marker of the change is part of the
// name of the only route of "calls" and of the only rule of "limits".
const (
	markerPrefix    = "change-"
	refusableSuffix = "-refusable"
	minRecordBytes  = 128 // minimum size of a record in bytes
)

// Content returns the two sections of a change, each padded to size bytes.
func Content(marker uint64, refusable bool, size int) (calls, limits []byte) {
	name := markerPrefix + strconv.FormatUint(marker, 10)
	if refusable {
		name += refusableSuffix
	}
	calls = fmt.Appendf(nil, `{"routes": [{"name": %q, "match": {}}]}`, name)
	limits = fmt.Appendf(nil, `{"parts": 1000, "rules": [{"name": %q, "mode": "alone", "per_s": 100000}]}`, name)
	return pad(calls, size), pad(limits, size)
}

// pad appends white space to a JSON text up to a size of at least minRecordBytes.
func pad(text []byte, size int) []byte {
	if padding := max(size, minRecordBytes) - len(text); padding > 0 {
		text = append(text, bytes.Repeat([]byte{' '}, padding)...)
	}
	return text
}

// MarkerOf returns the marker of a section that Content created, and whether its change is refusable.
func MarkerOf(value []byte) (marker uint64, refusable bool, err error) {
	var section struct {
		Routes, Rules []struct{ Name string }
	}
	if err := json.Unmarshal(value, &section); err != nil {
		return 0, false, err
	}
	names := append(section.Routes, section.Rules...)
	if len(names) != 1 {
		return 0, false, fmt.Errorf("section has %d routes and rules, must have one", len(names))
	}
	name, refusable := strings.CutSuffix(names[0].Name, refusableSuffix)
	marker, err = strconv.ParseUint(strings.TrimPrefix(name, markerPrefix), 10, 64)
	return marker, refusable, err
}
