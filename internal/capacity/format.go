package capacity

import (
	"math"
	"strconv"
	"strings"
)

// scales maps the unit in which a figure is computed to the units in which it is displayed, from the largest.
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

// scale is a display unit and its size in the unit of computation.
type scale struct {
	factor float64
	unit   string
}

// scaleFor returns the largest display unit of which the value is at least one, or else the smallest one.
func scaleFor(v float64, unit string) scale {
	candidates := scales[unit]
	for _, s := range candidates {
		if math.Abs(v) >= s.factor {
			return s
		}
	}
	if len(candidates) > 0 {
		return candidates[len(candidates)-1]
	}
	return scale{1, unit}
}

// formatNumber formats a value with three significant digits below 100. From 100 on it rounds to whole numbers of at most four
// significant digits, with commas between thousands.
func formatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	if math.Abs(v) >= 100 {
		digits := math.Floor(math.Log10(math.Abs(v))) - 3 // digits beyond the first four
		if digits > 0 {
			step := math.Pow(10, digits)
			v = math.Round(v/step) * step
		}
		return groupThousands(strconv.FormatFloat(v, 'f', 0, 64))
	}
	text := strconv.FormatFloat(v, 'g', 3, 64)
	if plain, err := strconv.ParseFloat(text, 64); err == nil && !(math.Abs(plain) < 1e-4) {
		return strconv.FormatFloat(plain, 'f', -1, 64)
	}
	return text
}

// groupThousands inserts commas between groups of three digits.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for position := len(digits) - 3; position > 0; position -= 3 {
		digits = digits[:position] + "," + digits[position:]
	}
	return sign + digits
}

// formatQuantity formats a value with its display unit.
func formatQuantity(v float64, unit string) string {
	s := scaleFor(v, unit)
	return strings.TrimSpace(formatNumber(v/s.factor) + " " + s.unit)
}

// minShownInterval is the width of an interval, as a fraction of the value, above which the interval is displayed.
const minShownInterval = 0.02

// formatEstimate formats a value with its display unit, followed by its interval in the same unit unless that is narrow.
func formatEstimate(e Estimate, unit string) string {
	if e.High-e.Low <= minShownInterval*math.Abs(e.Value) {
		return formatQuantity(e.Value, unit)
	}
	s := scaleFor(e.Value, unit)
	return formatQuantity(e.Value, unit) + " (" + formatNumber(e.Low/s.factor) + " to " + formatNumber(e.High/s.factor) + ")"
}
