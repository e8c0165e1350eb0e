package capacity

import (
	"fmt"
	"regexp"
	"strings"
)

const (
	tableBegin = "<!-- table:"
	tableTitle = " -->"
	tableEnd   = "<!-- end -->"
)

// PageError is the error for an invalid marker on the page.
type PageError struct {
	Line    int // from 1
	Problem string
}

func (e *PageError) Error() string { return fmt.Sprintf("docs/CAPACITY.md:%d: %s", e.Line, e.Problem) }

// Advice implements advice.Error.
func (e *PageError) Advice() string {
	return tableBegin + "NAME" + tableTitle + " begins a table and " + tableEnd + " ends it, each on a line of its own"
}

// inlineFigures matches a figure within a line of text: <!-- = UNIT FORMULA -->figure<!-- / -->.
var inlineFigures = regexp.MustCompile(`(<!-- = (\S+) (.+?) -->)[^<]*(<!-- / -->)`)

// Render returns the page with all tables, and all figures within the text, recomputed. It does not change the text outside
// the markers.
func (m *Model) Render(page string) (string, error) {
	var out strings.Builder
	tables := m.tables()
	currentTable, beginLine := "", 0
	for i, row := range strings.SplitAfter(page, "\n") {
		text := strings.TrimSpace(row)
		switch {
		case strings.HasPrefix(text, tableBegin):
			if currentTable != "" {
				return "", &PageError{i + 1, "a table begins inside table " + currentTable}
			}
			currentTable, beginLine = strings.TrimSuffix(strings.TrimPrefix(text, tableBegin), tableTitle), i+1
			table := tables[currentTable]
			if table == nil {
				return "", &PageError{i + 1, fmt.Sprintf("unknown table %q", currentTable)}
			}
			rendered, err := table()
			if err != nil {
				return "", fmt.Errorf("table %s: %w", currentTable, err)
			}
			out.WriteString(row + rendered)
		case text == tableEnd:
			if currentTable == "" {
				return "", &PageError{i + 1, "end marker outside a table"}
			}
			currentTable = ""
			out.WriteString(row)
		case currentTable == "":
			filled, err := m.inlineFigures(row)
			if err != nil {
				return "", fmt.Errorf("docs/CAPACITY.md:%d: %w", i+1, err)
			}
			out.WriteString(filled)
		}
	}
	if currentTable != "" {
		return "", &PageError{beginLine, "table " + currentTable + " has no end marker"}
	}
	return out.String(), nil
}

// inlineFigures recomputes the figures within a line of text.
func (m *Model) inlineFigures(text string) (filled string, err error) {
	filled = inlineFigures.ReplaceAllStringFunc(text, func(found string) string {
		parts := inlineFigures.FindStringSubmatch(found)
		value, e := m.fillPlaceholders("{{" + parts[2] + " " + parts[3] + "}}")
		if e != nil {
			err = e
		}
		return parts[1] + value + parts[4]
	})
	return filled, err
}

// markdownTable renders a table in Markdown, with the head and a rule above the rows.
func markdownTable(head []string, rows [][]string) string {
	var out strings.Builder
	line := func(cells []string) {
		escaped := make([]string, len(cells))
		for i, c := range cells {
			escaped[i] = strings.ReplaceAll(c, "|", `\|`)
		}
		out.WriteString("| " + strings.Join(escaped, " | ") + " |\n")
	}
	line(head)
	rule := make([]string, len(head))
	for i := range rule {
		rule[i] = "---"
	}
	line(rule)
	for _, r := range rows {
		line(r)
	}
	return out.String()
}
