package measurer_test

import (
	"context"
	"errors"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/measurer"
)

// kebab is the form of all names.
var kebab = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

func TestTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, m := range measurer.Table() {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(kebab.MatchString(m.Name))
			is.True(!names[m.Name]) // a name of its own
			names[m.Name] = true
			is.True(m.Help != "" && m.Times > 0 && len(m.Sizes) > 0)
			is.True(strings.Contains(string(page), "`"+m.Name+"`")) // the page names it
			checkParameters(is, m)
			checkFigures(is, m)
		})
	}
}

// TestPageNamesMeasurements checks the last column of the slopes in the page.
func TestPageNamesMeasurements(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	_, slopes, found := strings.Cut(string(page), "| Command |")
	is.True(found)
	slopes, _, _ = strings.Cut(slopes, "\n\n")
	var names []string
	for row := range strings.Lines(slopes) {
		cells := strings.Split(strings.TrimSpace(row), "|")
		if len(cells) < 3 || strings.HasPrefix(cells[1], "-") {
			continue
		}
		for name := range strings.SplitSeq(cells[len(cells)-2], ",") {
			names = append(names, strings.Trim(name, " `"))
		}
	}
	is.True(len(names) >= 20)
	_, err = measurer.Plan(names, nil)
	is.NoErr(err)
}

func checkParameters(is *is.I, m measurer.Measurement) {
	is.Helper()
	names := map[string]bool{}
	for _, p := range m.Parameters {
		is.True(kebab.MatchString(p.Name) && !names[p.Name] && p.Help != "")
		names[p.Name] = true
		for _, size := range m.Sizes {
			value, set := size[p.Name]
			is.True(set && value >= p.Least && value <= p.Most)
		}
	}
	for _, size := range m.Sizes {
		is.Equal(len(size), len(m.Parameters))
	}
}

func checkFigures(is *is.I, m measurer.Measurement) {
	is.Helper()
	names := map[string]bool{"wall-time": true, "processor-time": true}
	for _, f := range m.Figures {
		is.True(f.Name != "" && !names[f.Name] && f.Unit != "" && f.Help != "")
		names[f.Name] = true
	}
}

// quick returns the tasks of what needs no real daemons, at the smallest sizes.
func quick(t *testing.T) []measurer.Task {
	t.Helper()
	var tasks []measurer.Task
	for _, m := range measurer.Table() {
		if !m.Fleet {
			tasks = append(tasks, measurer.Task{Measurement: m, Sizes: m.Sizes[:1]})
		}
	}
	return tasks
}

func TestMeasurementsGiveTheirFigures(t *testing.T) {
	for _, task := range quick(t) {
		t.Run(task.Measurement.Name, func(t *testing.T) {
			is := is.New(t)
			times := min(task.Measurement.Times, 2)
			result, err := measurer.Run(t.Context(), []measurer.Task{task}, measurer.Options{Times: times, Runs: 1})
			is.NoErr(err)
			is.Equal(len(result.Outcomes), 1)
			values := result.Outcomes[0].Values
			is.Equal(len(values), len(task.Measurement.Figures)+2)
			for _, v := range values {
				is.True(!math.IsNaN(v.Median) && !math.IsInf(v.Median, 0))
				is.True(v.Least <= v.Median && v.Median <= v.Most)
			}
			is.True(values[0].Median > 0) // the elapsed time
			for i, f := range task.Measurement.Figures {
				is.Equal(values[i+2].Figure, f.Name)
			}
		})
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	const endless = 1 << 40
	for _, task := range quick(t) {
		t.Run(task.Measurement.Name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			result, err := measurer.Run(ctx, []measurer.Task{task}, measurer.Options{Times: endless})
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.True(strings.Contains(err.Error(), task.Measurement.Name)) // says what it was at
			is.Equal(len(result.Outcomes), 0)
		})
	}
}

func TestResultIsWritten(t *testing.T) {
	is := is.New(t)
	tasks, err := measurer.Plan([]string{"round"}, []string{"hosts=3", "hosts=4"})
	is.NoErr(err)
	result, err := measurer.Run(t.Context(), tasks, measurer.Options{Times: 1, Runs: 2})
	is.NoErr(err)
	var table strings.Builder
	is.NoErr(result.WriteTable(&table))
	is.True(strings.Contains(table.String(), "round        hosts=4  processor-time"))
	path := t.TempDir() + "/result.json"
	is.NoErr(result.WriteFile(path))
	content, err := os.ReadFile(path)
	is.NoErr(err)
	for _, field := range regexp.MustCompile(`"([^"]+)":`).FindAllStringSubmatch(string(content), -1) {
		is.True(kebab.MatchString(field[1]))
	}
	is.True(strings.Contains(string(content), `"load-average-before": "`))
}
