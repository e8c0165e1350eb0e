package capacity

import (
	"math"
	"strconv"
	"strings"
)

// scales are the units that a figure is shown in, from the greatest, by the unit that it is computed in.
var scales = map[string][]scale{
	"B":      {{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}},
	"B/s":    {{1e6, "MB/s"}, {1e3, "KB/s"}, {1, "B/s"}},
	"us":     {{1e6, "s"}, {1e3, "ms"}, {1, "us"}},
	"ms":     {{1e3, "s"}, {1, "ms"}},
	"s":      {{86400, "days"}, {3600, "h"}, {60, "min"}, {1, "s"}},
	"number": {{1, ""}},
	"times":  {{1, "times"}},
	"1/s":    {{1, "a second"}},
	"1/day":  {{1, "a day"}},
	"%":      {{1, "% of a core"}},
}

type scale struct {
	factor float64
	unit   string
}

// scaleOf finds how a value of a unit is shown.
func scaleOf(v float64, unit string) scale {
	known := scales[unit]
	for _, s := range known {
		if math.Abs(v) >= s.factor {
			return s
		}
	}
	if len(known) > 0 {
		return known[len(known)-1]
	}
	return scale{1, unit}
}

// number writes a value with three significant digits, whole thousands with commas.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	if math.Abs(v) >= 100 {
		digits := math.Floor(math.Log10(math.Abs(v))) - 3 // four digits of a large number
		if digits > 0 {
			step := math.Pow(10, digits)
			v = math.Round(v/step) * step
		}
		return thousands(strconv.FormatFloat(v, 'f', 0, 64))
	}
	text := strconv.FormatFloat(v, 'g', 3, 64)
	if plain, err := strconv.ParseFloat(text, 64); err == nil && !(math.Abs(plain) < 1e-4) {
		return strconv.FormatFloat(plain, 'f', -1, 64)
	}
	return text
}

func thousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for at := len(digits) - 3; at > 0; at -= 3 {
		digits = digits[:at] + "," + digits[at:]
	}
	return sign + digits
}

// quantity writes a value with its unit.
func quantity(v float64, unit string) string {
	s := scaleOf(v, unit)
	return strings.TrimSpace(number(v/s.factor) + " " + s.unit)
}

// shown is the part of a value by which its interval must differ to be written.
const shown = 0.02

// estimated writes a value, and its interval in the value's unit.
func estimated(e Estimate, unit string) string {
	if e.High-e.Low <= shown*math.Abs(e.Value) {
		return quantity(e.Value, unit)
	}
	s := scaleOf(e.Value, unit)
	return quantity(e.Value, unit) + " (" + number(e.Low/s.factor) + " to " + number(e.High/s.factor) + ")"
}
