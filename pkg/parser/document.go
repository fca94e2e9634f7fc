// A document is one JSON object whose fields are looked up by name. It collects
// the faults, the names that the decoder looked up and the line of each field, so
// that a decoder is just a list of fields.

package parser

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

type document struct {
	line   int // line of the opening brace
	fields []field
	known  []string // names that the decoder looked up
	faults Faults
}

type field struct {
	name  string
	line  int
	value hujson.ValueTrimmed
}

// maxFields is the maximum number of fields of a document. It keeps the linear
// search for a field cheap.
const maxFields = 100

// parseDocument parses content as one JSON object with comments.
func parseDocument(content []byte) (*document, Faults) {
	value, err := hujson.Parse(content)
	if err != nil {
		return nil, Faults{syntaxFault(content, err)}
	}
	return newDocument(newLineCounter(content), value)
}

// newDocument returns the document for a parsed value.
func newDocument(lines *lineCounter, value hujson.Value) (*document, Faults) {
	line := lines.lineAt(value.StartOffset)
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, Faults{{Line: line, Problem: "must be a JSON object"}}
	}
	if len(object.Members) > maxFields {
		return nil, Faults{{Line: line, Problem: "has more than " + strconv.Itoa(maxFields) + " fields"}}
	}
	d := &document{
		line:   line,
		fields: make([]field, 0, len(object.Members)),
		known:  make([]string, 0, len(object.Members)),
	}
	for _, member := range object.Members {
		name, _ := stringOf(member.Name.Value)
		line := lines.lineAt(member.Name.StartOffset)
		if _, duplicate := d.find(name); duplicate {
			d.addFault(line, name, "appears twice")
			continue
		}
		d.fields = append(d.fields, field{name: name, line: line, value: member.Value.Value})
	}
	return d, nil
}

// find returns the field with a name.
func (d *document) find(name string) (field, bool) {
	for _, found := range d.fields {
		if found.name == name {
			return found, true
		}
	}
	return field{}, false
}

// lineOf returns the line of a field, or of the document if the field is missing.
func (d *document) lineOf(name string) int {
	if found, ok := d.find(name); ok {
		return found.line
	}
	return d.line
}

// lookup returns the field with a name and records the name as known.
func (d *document) lookup(name string) (field, bool) {
	d.known = append(d.known, name)
	return d.find(name)
}

// require is like lookup, but reports a missing field.
func (d *document) require(name, allowed string) (field, bool) {
	found, ok := d.lookup(name)
	if !ok {
		d.addFault(d.line, name, "is missing; allowed: "+allowed)
	}
	return found, ok
}

// rejectUnknownFields reports all fields that the decoder did not look up.
func (d *document) rejectUnknownFields() {
	for _, found := range d.fields {
		if !slices.Contains(d.known, found.name) {
			d.addFault(found.line, found.name, "is not a known field; known: "+strings.Join(d.known, ", "))
		}
	}
}

func (d *document) addFault(line int, name, problem string) {
	d.faults = append(d.faults, &Fault{Line: line, Field: oneLine(name), Problem: problem})
}

// rejectValue reports a value that is not allowed.
func (d *document) rejectValue(name string, found field, allowed string) {
	d.addFault(found.line, name, "is "+describe(found.value)+"; allowed: "+allowed)
}

// maxDescribedBytes is how much of a value a fault shows.
const maxDescribedBytes = 60

// describe returns a short description of a value, in one line.
func describe(value hujson.ValueTrimmed) string {
	switch value := value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		return oneLine(string(value))
	}
	return "nothing"
}

// oneLine truncates text and masks control characters and invalid UTF-8.
func oneLine(text string) string {
	shortened := text
	if len(shortened) > maxDescribedBytes {
		shortened = shortened[:maxDescribedBytes] + "..."
	}
	return strings.Map(maskControl, strings.ToValidUTF8(shortened, "?"))
}

func maskControl(r rune) rune {
	if r < ' ' || r == 0x7f {
		return '?'
	}
	return r
}

// syntaxFault returns the fault for a syntax error. It moves the line from the
// text of the parser's error to the field Line.
func syntaxFault(content []byte, err error) *Fault {
	message := err.Error()
	line := 1
	if rest, ok := strings.CutPrefix(message, "hujson: line "); ok {
		line, message = cutLineNumber(rest)
	}
	return &Fault{Line: min(line, 1+bytes.Count(content, []byte{'\n'})), Problem: "is not JSON with comments: " + message}
}

// cutLineNumber splits "12, column 3: cause" into the line number and the rest.
func cutLineNumber(text string) (line int, rest string) {
	digits := 0
	for digits < len(text) && text[digits] >= '0' && text[digits] <= '9' {
		line = line*10 + int(text[digits]-'0')
		digits++
	}
	return max(line, 1), strings.TrimPrefix(text[digits:], ", ")
}

// lineCounter converts offsets to line numbers. It is fast for ascending offsets,
// since it counts on from the last one.
type lineCounter struct {
	content []byte
	offset  int
	line    int
}

func newLineCounter(content []byte) *lineCounter {
	return &lineCounter{content: content, line: 1}
}

// lineAt returns the line number at an offset, counted from 1.
func (c *lineCounter) lineAt(offset int) int {
	if offset < c.offset {
		c.offset, c.line = 0, 1
	}
	c.line += bytes.Count(c.content[c.offset:offset], []byte{'\n'})
	c.offset = offset
	return c.line
}
