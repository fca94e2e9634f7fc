// Package explainer reconstructs from the logs of several daemons what became of
// one request: the timeline of what each decided about it and about the calls
// that it made, its outcome, and the cause of a failure.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time // by the clock of the host; zero if the line has none
	Host    string
	Message string
	Fields  map[string]any
}

// hiddenFields are the fields that are not among the name=value pairs of a timeline,
// because they are shown elsewhere or are of no use there.
var hiddenFields = []string{"time", "level", "msg", "host", "logger", "request"}

// Read returns the lines of a log that concern a request or the calls that it
// made. The ids of these calls start with the id of the request and a dot. Text
// before the JSON document of a line, and lines without one, are ignored. The
// errors are those of reading, and of a line longer than 1 MiB.
func Read(log io.Reader, request string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, request) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		id, _ := fields["request"].(string)
		if id != request && !strings.HasPrefix(id, request+".") {
			continue
		}
		lines = append(lines, newLine(fields))
	}
	return lines, flow.Wrap("read-log", request, scanner.Err())
}

func newLine(fields map[string]any) Line {
	text := func(name string) string {
		value, _ := fields[name].(string)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		at = time.Time{} // sorts first
	}
	return Line{Time: at, Host: text("host"), Message: text("msg"), Fields: fields}
}

// WriteTimeline writes the lines in order of time, and the outcome of the request.
// It writes nothing and returns false when there are no lines.
func WriteTimeline(out io.Writer, request string, lines []Line) bool {
	if len(lines) == 0 {
		return false
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for _, line := range lines {
		fmt.Fprintf(out, "%s %-18s %s", line.Time.Format("15:04:05.000"), line.Host, line.Message)
		if id := line.Fields["request"]; id != request {
			fmt.Fprintf(out, " (call %v)", id)
		}
		for _, name := range sortedNames(line.Fields) {
			fmt.Fprintf(out, " %s=%v", name, line.Fields[name])
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "outcome: %s\n", Outcome(request, lines))
	return true
}

func sortedNames(fields map[string]any) []string {
	var names []string
	for name := range fields {
		if !slices.Contains(hiddenFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Outcome says in one sentence how a request ended and why. The lines must be in
// order of time.
func Outcome(request string, lines []Line) string {
	end := lastMatch(lines, func(l Line) bool {
		return l.Fields["request"] == request && (l.Message == "request failed" || l.Message == "request answered")
	})
	if end == nil {
		return "no log says how it ended: the log of its ingress is missing, or the line was left out"
	}
	status := end.Fields["status"]
	if end.Message == "request answered" {
		return fmt.Sprintf("answered with status %v after %v ms", status, end.Fields["took-ms"])
	}
	if reason, ok := end.Fields["reason"].(string); ok {
		return describeRefusal(flow.Reason(reason), *end)
	}
	return fmt.Sprintf("the backend server's own status %v was passed on; %s", status, describeServerFailure(request, lines))
}

// describeRefusal describes a request that coltsfootflow refused.
func describeRefusal(reason flow.Reason, end Line) string {
	certainty := "it may have run"
	if row, ok := flow.LookupReason(reason); ok && row.Outcome == flow.OutcomeNotRun {
		certainty = "it did not run"
	}
	return fmt.Sprintf("refused as %s at step %v with status %v, %s: %v", reason, end.Fields["step"], end.Fields["status"], certainty, end.Fields["cause"])
}

// describeServerFailure says why the backend server failed the request: because
// of a failed call that it made, or for a reason of its own.
func describeServerFailure(request string, lines []Line) string {
	call := lastMatch(lines, func(l Line) bool {
		id, _ := l.Fields["request"].(string)
		return strings.HasPrefix(id, request+".") && l.Message == "request failed" && l.Fields["caller-left"] != true
	})
	if call != nil {
		return fmt.Sprintf("its call %v to %v failed before: %v", call.Fields["request"], call.Fields["service"], describeCallFailure(call.Fields))
	}
	run := lastMatch(lines, func(l Line) bool {
		return l.Fields["request"] == request && l.Message == "request failed at the backend server"
	})
	if run != nil {
		return fmt.Sprintf("server %v failed it after %v ms", run.Fields["server"], run.Fields["took-ms"])
	}
	return "the logs hold no line about it from the backend server's daemon"
}

func describeCallFailure(fields map[string]any) string {
	if reason, ok := fields["reason"]; ok {
		return fmt.Sprintf("%v, %v", reason, fields["cause"])
	}
	return fmt.Sprintf("status %v of server %v", fields["status"], fields["server"])
}

func lastMatch(lines []Line, matches func(Line) bool) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if matches(lines[i]) {
			return &lines[i]
		}
	}
	return nil
}
