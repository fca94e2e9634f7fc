// Package explainer tells the story of one request from the logs of several
// daemons: what each decided about it and about the calls that it made, in
// order, and the cause of its failure.
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

// lineLimit bounds one line of a log in bytes.
const lineLimit = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	Fields  map[string]any
}

// omitted are the fields that a story shows elsewhere or not at all.
var omitted = []string{"time", "level", "msg", "host", "logger", "request"}

// Read returns the lines of a log that concern a request or the calls that it
// made. The calls of a request have ids that begin with its own and a dot. Lines
// that are no JSON documents, and what stands before one, are passed over.
func Read(log io.Reader, request string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, lineLimit)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 || !strings.Contains(text, request) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
			continue
		}
		id, _ := fields["request"].(string)
		if id != request && !strings.HasPrefix(id, request+".") {
			continue
		}
		lines = append(lines, lineOf(fields))
	}
	return lines, flow.Wrap("read-log", request, scanner.Err())
}

func lineOf(fields map[string]any) Line {
	text := func(name string) string {
		value, _ := fields[name].(string)
		return value
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		at = time.Time{} // shown first
	}
	return Line{Time: at, Host: text("host"), Message: text("msg"), Fields: fields}
}

// Tell writes the story of a request, and reports whether there is one.
func Tell(out io.Writer, request string, lines []Line) bool {
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
		if !slices.Contains(omitted, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Outcome says in one sentence how a request ended and why.
func Outcome(request string, lines []Line) string {
	ended := last(lines, func(l Line) bool {
		return l.Fields["request"] == request && (l.Message == "request failed" || l.Message == "request answered")
	})
	if ended == nil {
		return "no daemon's log says how it ended: its ingress is missing, or the line was left out"
	}
	status := ended.Fields["status"]
	if ended.Message == "request answered" {
		return fmt.Sprintf("answered with status %v after %v ms", status, ended.Fields["took-ms"])
	}
	if reason, ok := ended.Fields["reason"].(string); ok {
		return refused(flow.Reason(reason), *ended)
	}
	return fmt.Sprintf("the backend server's own status %v was passed on; %s", status, causeAtServer(request, lines))
}

// refused explains an answer of coltsfootflow's own.
func refused(reason flow.Reason, ended Line) string {
	certainty := "it may have run"
	if row, ok := flow.LookupReason(reason); ok && row.Outcome == flow.OutcomeNotRun {
		certainty = "it did not run"
	}
	return fmt.Sprintf("refused as %s at step %v with status %v, %s: %v", reason, ended.Fields["step"], ended.Fields["status"], certainty, ended.Fields["cause"])
}

// causeAtServer looks for the reason of a backend server's failure: a call that
// failed, or the server itself.
func causeAtServer(request string, lines []Line) string {
	call := last(lines, func(l Line) bool {
		id, _ := l.Fields["request"].(string)
		return strings.HasPrefix(id, request+".") && l.Message == "request failed" && l.Fields["caller-left"] != true
	})
	if call != nil {
		return fmt.Sprintf("its call %v to %v failed before: %v", call.Fields["request"], call.Fields["service"], describe(call.Fields))
	}
	run := last(lines, func(l Line) bool {
		return l.Fields["request"] == request && l.Message == "request failed at the backend server"
	})
	if run != nil {
		return fmt.Sprintf("server %v failed it after %v ms", run.Fields["server"], run.Fields["took-ms"])
	}
	return "no line of the daemon beside the server is among the logs"
}

func describe(fields map[string]any) string {
	if reason, ok := fields["reason"]; ok {
		return fmt.Sprintf("%v, %v", reason, fields["cause"])
	}
	return fmt.Sprintf("status %v of server %v", fields["status"], fields["server"])
}

func last(lines []Line, wanted func(Line) bool) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if wanted(lines[i]) {
			return &lines[i]
		}
	}
	return nil
}
