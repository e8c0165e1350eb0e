package capacity

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write docs/CAPACITY.md with recomputed tables")

const (
	pageFile    = "../../docs/CAPACITY.md"
	measuredDir = "../../docs/measured"
	inputsFile  = "inputs.json"
)

// sources returns the contents of the files in docs/measured, by name.
func sources(t *testing.T) map[string]string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(measuredDir, "*.json"))
	require.NoError(t, err)
	files := map[string]string{}
	for _, name := range names {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		files[filepath.Base(name)] = string(text)
	}
	return files
}

// modelOf returns the model of the given files of docs/measured.
func modelOf(files map[string]string) (*Model, error) {
	in, err := ParseInputs(inputsFile, []byte(files[inputsFile]))
	if err != nil {
		return nil, err
	}
	var measured []*File
	for name, text := range files {
		if name == inputsFile {
			continue
		}
		f, err := ParseFile(name, []byte(text))
		if err != nil {
			return nil, err
		}
		measured = append(measured, f)
	}
	return NewModel(in, measured...)
}

// rendered returns the page with the tables that the files result in.
func rendered(files map[string]string, page string) (string, error) {
	m, err := modelOf(files)
	if err != nil {
		return "", err
	}
	return m.Render(page)
}

// page returns the text of docs/CAPACITY.md.
func page(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	return string(text)
}

// The tables of the page are those computed from the inputs and the measured series.
func TestPage(t *testing.T) {
	text := page(t)
	want, err := rendered(sources(t), text)
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(pageFile, []byte(want), 0o644))
		return
	}
	if diff := cmp.Diff(want, text); diff != "" {
		t.Errorf("docs/CAPACITY.md differs from the page rendered from docs/measured (+ is the page; update it with go test ./internal/capacity -run TestPage -update):\n%s", diff)
	}
}

// A changed number in the page or in the inputs makes the page differ from the rendered one.
func TestPageAgainstAChangedNumber(t *testing.T) {
	text, files := page(t), sources(t)
	agrees := func(files map[string]string, text string) bool {
		want, err := rendered(files, text)
		return err == nil && want == text
	}
	require.True(t, agrees(files, text), "the unchanged page differs from the rendered one")
	for _, change := range []struct{ what, old, new string }{
		{"page: an input", "| gatekeepers | 2,200 |", "| gatekeepers | 2,300 |"},
		{"page: a derived number", "| 191 calls/s |", "| 192 calls/s |"},
		{"page: a headroom", "0.44x **fail**", "0.45x **fail**"},
		{"page: a figure in the text", "-->2.29 min<!-- / -->", "-->3 min<!-- / -->"},
		{"page: a verdict", "0.44x **fail**", "0.44x pass"},
	} {
		require.True(t, strings.Contains(text, change.old), change.what)
		require.False(t, agrees(files, strings.Replace(text, change.old, change.new, 1)), change.what)
	}
	for _, change := range []struct{ file, old, new string }{
		{inputsFile, `"value": 2200`, `"value": 2300`},
		{inputsFile, `"value": 420000`, `"value": 430000`},
	} {
		changed := map[string]string{}
		for name, content := range files {
			changed[name] = content
		}
		require.True(t, strings.Contains(files[change.file], change.old), "%s: %s", change.file, change.old)
		changed[change.file] = strings.Replace(files[change.file], change.old, change.new, 1)
		require.False(t, agrees(changed, text), "%s: %s", change.file, change.new)
	}
}

// Values at the largest size that are 1.5 times as great make the page differ from the rendered one, for each series of the page.
func TestPageAgainstAChangedSeries(t *testing.T) {
	text, files := page(t), sources(t)
	in, err := ParseInputs(inputsFile, []byte(files[inputsFile]))
	require.NoError(t, err)
	m, err := modelOf(files)
	require.NoError(t, err)
	used := m.usedSeries()
	require.Greater(t, len(used), 10)
	for _, key := range used {
		changed := &File{}
		for name, s := range m.series {
			copied := *s
			if name == key {
				copied.Points = slices.Clone(s.Points)
				last := &copied.Points[len(copied.Points)-1]
				values := slices.Clone(last.Values)
				for i := range values {
					values[i] = 1.5*values[i] + 1e-3
				}
				last.Values = values
			}
			changed.Series = append(changed.Series, copied)
		}
		other, err := NewModel(in, changed)
		require.NoError(t, err)
		got, err := other.Render(text)
		require.NoError(t, err)
		require.NotEqual(t, text, got, key)
	}
}

// An inverted verdict of a fault run makes the page differ from the rendered one.
func TestPageAgainstAChangedFaultRun(t *testing.T) {
	text := page(t)
	m, err := modelOf(sources(t))
	require.NoError(t, err)
	require.NotEmpty(t, m.runs)
	for i := range m.runs {
		m.runs[i].RulesHeld = !m.runs[i].RulesHeld
		got, err := m.Render(text)
		require.NoError(t, err)
		require.NotEqual(t, text, got, "run %d", i)
		m.runs[i].RulesHeld = !m.runs[i].RulesHeld
	}
}

// Without measured files, rows that depend on series are marked as not measured; rows that depend on inputs alone are computed.
func TestPageWithoutMeasuredFiles(t *testing.T) {
	files := map[string]string{inputsFile: sources(t)[inputsFile]}
	for _, role := range roles {
		got, err := rendered(files, "<!-- table:"+role.Table+" -->\n<!-- end -->\n")
		require.NoError(t, err)
		lines := strings.Split(got, "\n")[3:] // after the marker, the head and the rule
		for i, row := range role.Rows {
			cells := strings.Split(lines[i], " | ")
			require.Equal(t, row.Label, cells[1])
			if strings.Contains(row.Need, "at(") {
				require.Equal(t, []string{"not measured", "not measured", ""}, []string{cells[2], cells[4], cells[5]}, row.Label)
			} else {
				require.Equal(t, "inputs alone", cells[5], row.Label)
			}
		}
	}
}

// Rendering fails if a count of machines in the inputs differs from the placement.
func TestPlacementAgainstInputs(t *testing.T) {
	files := map[string]string{inputsFile: strings.Replace(sources(t)[inputsFile], `"name": "voters", "unit": "number", "value": 5`,
		`"name": "voters", "unit": "number", "value": 7`, 1)}
	_, err := rendered(files, "<!-- table:placement -->\n<!-- end -->\n")
	require.EqualError(t, err, "table placement: input voters is 7, but the placement has 5")
}

// Errors for invalid markers have the line number; valid markers have their tables and figures replaced.
func TestPageMarkers(t *testing.T) {
	m, err := modelOf(sources(t))
	require.NoError(t, err)
	for text, want := range map[string]string{
		"<!-- table:inputs -->\n":                         "docs/CAPACITY.md:1: table inputs has no end marker",
		"a\n<!-- end -->\n":                               "docs/CAPACITY.md:2: end marker outside a table",
		"<!-- table:none -->\n<!-- end -->\n":             `docs/CAPACITY.md:1: unknown table "none"`,
		"<!-- table:inputs -->\n<!-- table:derived -->\n": "docs/CAPACITY.md:2: a table begins inside table inputs",
	} {
		_, err := m.Render(text)
		require.EqualError(t, err, want)
	}
	text, err := m.Render("a <!-- = s register_pace -->1 s<!-- / --> b <!-- = number gatekeepers --><!-- / -->\n")
	require.NoError(t, err)
	require.Equal(t, "a <!-- = s register_pace -->2.29 min<!-- / --> b <!-- = number gatekeepers -->2,200<!-- / -->\n", text)
	_, err = m.Render("a\n<!-- = s none -->1 s<!-- / -->\n")
	require.EqualError(t, err, `docs/CAPACITY.md:2: formula "none": unknown input "none"`)
	again, err := m.Render("before\n<!-- table:placement -->\nold\n<!-- end -->\nafter\n")
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(again, "before\n<!-- table:placement -->\n| region |") && strings.HasSuffix(again, "|\n<!-- end -->\nafter\n"), again)
}
