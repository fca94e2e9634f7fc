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

// kebabCase is the form of all names.
var kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

func TestMeasurementsAreDescribed(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, m := range measurer.Measurements() {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(kebabCase.MatchString(m.Name))
			is.True(!names[m.Name]) // unique
			names[m.Name] = true
			is.True(m.Help != "" && m.Operations > 0 && len(m.Sizes) > 0)
			is.True(strings.Contains(string(page), "`"+m.Name+"`")) // documented on the page
			checkParameters(is, m)
			checkFigures(is, m)
		})
	}
}

// TestPageNamesKnownMeasurements checks that the last column of the table of slopes on
// the page names only measurements that exist.
func TestPageNamesKnownMeasurements(t *testing.T) {
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
		is.True(kebabCase.MatchString(p.Name) && !names[p.Name] && p.Help != "")
		names[p.Name] = true
		for _, size := range m.Sizes {
			value, set := size[p.Name]
			is.True(set && value >= p.Min && value <= p.Max)
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

// tasksWithoutDaemons returns the measurements that start no real daemons, each at
// its quickest default size.
func tasksWithoutDaemons(t *testing.T) []measurer.Task {
	t.Helper()
	var tasks []measurer.Task
	for _, m := range measurer.Measurements() {
		if !m.StartsDaemons {
			tasks = append(tasks, measurer.Task{Measurement: m, Sizes: m.Sizes[:1]})
		}
	}
	return tasks
}

func TestMeasurementsReportTheirFigures(t *testing.T) {
	for _, task := range tasksWithoutDaemons(t) {
		t.Run(task.Measurement.Name, func(t *testing.T) {
			is := is.New(t)
			operations := min(task.Measurement.Operations, 2)
			result, err := measurer.Run(t.Context(), []measurer.Task{task}, measurer.Options{Operations: operations, Trials: 1})
			is.NoErr(err)
			is.Equal(len(result.Outcomes), 1)
			values := result.Outcomes[0].Values
			is.Equal(len(values), len(task.Measurement.Figures)+2)
			for _, v := range values {
				is.True(!math.IsNaN(v.Median) && !math.IsInf(v.Median, 0))
				is.True(v.Min <= v.Median && v.Median <= v.Max)
			}
			is.True(values[0].Median > 0) // wall-time
			for i, f := range task.Measurement.Figures {
				is.Equal(values[i+2].Figure, f.Name)
			}
		})
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	const endless = 1 << 40
	for _, task := range tasksWithoutDaemons(t) {
		t.Run(task.Measurement.Name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			result, err := measurer.Run(ctx, []measurer.Task{task}, measurer.Options{Operations: endless})
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.True(strings.Contains(err.Error(), task.Measurement.Name)) // names the running measurement
			is.Equal(len(result.Outcomes), 0)
		})
	}
}

func TestResultIsWritten(t *testing.T) {
	is := is.New(t)
	tasks, err := measurer.Plan([]string{"round"}, []string{"hosts=3", "hosts=4"})
	is.NoErr(err)
	result, err := measurer.Run(t.Context(), tasks, measurer.Options{Operations: 1, Trials: 2})
	is.NoErr(err)
	var table strings.Builder
	is.NoErr(result.WriteTable(&table))
	is.True(strings.Contains(table.String(), "round        hosts=4  processor-time"))
	path := t.TempDir() + "/result.json"
	is.NoErr(result.WriteFile(path))
	content, err := os.ReadFile(path)
	is.NoErr(err)
	for _, field := range regexp.MustCompile(`"([^"]+)":`).FindAllStringSubmatch(string(content), -1) {
		is.True(kebabCase.MatchString(field[1]))
	}
	is.True(strings.Contains(string(content), `"load-average-before": "`))
}
