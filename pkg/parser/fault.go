// Faults say what is wrong with a document and what is allowed instead, in one
// line each. Their fields are exported, so that tools can print them in their own
// way.

package parser

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Steps of the errors of this package.
const (
	StepParseSettings flow.Step = "parse-settings"
	StepReadSettings  flow.Step = "read-settings"
	StepParseRecord   flow.Step = "parse-record"
	StepReadRecords   flow.Step = "read-records"
	StepCheckRecords  flow.Step = "check-records"
)

// Fault is one error in a document.
type Fault struct {
	Line    int    // line of the document, counted from 1
	Field   string // empty if the fault does not belong to one field
	Problem string // what is wrong and what is allowed
}

// Error returns the field and the problem in one line.
func (f *Fault) Error() string {
	if f.Field == "" {
		return f.Problem
	}
	return f.Field + ": " + f.Problem
}

// Faults holds all faults of one document.
type Faults []*Fault

// Error returns all faults in one line, separated by semicolons.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "; ")
}

// UnknownKindError is returned for a record of a kind that this version of the
// program does not support.
type UnknownKindError struct {
	Kind  flow.Kind
	Known []flow.Kind
}

// Error names the kind and the known ones.
func (e *UnknownKindError) Error() string {
	known := make([]string, len(e.Known))
	for i, kind := range e.Known {
		known[i] = string(kind)
	}
	return fmt.Sprintf("kind %q is not known; known: %s", e.Kind, strings.Join(known, ", "))
}

// UnknownSchemaError is returned for a record with a schema version that this
// version of the program does not support.
type UnknownSchemaError struct {
	Kind   flow.Kind
	Schema int
	Known  []int
}

// Error names the schema version and the known ones.
func (e *UnknownSchemaError) Error() string {
	known := make([]string, len(e.Known))
	for i, schema := range e.Known {
		known[i] = strconv.Itoa(schema)
	}
	return fmt.Sprintf("schema %d of kind %s is not known; known: %s", e.Schema, e.Kind, strings.Join(known, ", "))
}

// wrapFaults wraps each fault with a step, and file and line as its peer.
func wrapFaults(step flow.Step, file string, faults Faults) []error {
	var wrapped []error
	for _, fault := range faults {
		wrapped = append(wrapped, flow.Wrap(step, position(file, fault.Line), fault))
	}
	return wrapped
}

func position(file string, line int) string {
	return file + ":" + strconv.Itoa(line)
}
