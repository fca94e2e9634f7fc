// A document is one JSON object whose fields are taken one by one by name. It
// keeps the faults met on the way, the names that were asked for, and the
// lines of the fields, so that every decoder stays a plain list of fields.

package parser

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

type document struct {
	line   int // of the opening brace
	fields []field
	asked  []string // names that the decoder asked for
	faults Faults
}

type field struct {
	name  string
	line  int
	value hujson.ValueTrimmed
}

// fieldsLimit is the most fields of a document, so that they can be searched
// one by one.
const fieldsLimit = 100

// parseDocument parses content as one JSON object with comments.
func parseDocument(content []byte) (*document, Faults) {
	value, err := hujson.Parse(content)
	if err != nil {
		return nil, Faults{syntaxFault(content, err)}
	}
	return newDocument(newLineCounter(content), value)
}

// newDocument returns the document of one parsed value.
func newDocument(lines *lineCounter, value hujson.Value) (*document, Faults) {
	line := lines.lineAt(value.StartOffset)
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil, Faults{{Line: line, Problem: "must be a JSON object"}}
	}
	if len(object.Members) > fieldsLimit {
		return nil, Faults{{Line: line, Problem: "has more than " + strconv.Itoa(fieldsLimit) + " fields"}}
	}
	d := &document{
		line:   line,
		fields: make([]field, 0, len(object.Members)),
		asked:  make([]string, 0, len(object.Members)),
	}
	for _, member := range object.Members {
		name, _ := stringOf(member.Name.Value)
		line := lines.lineAt(member.Name.StartOffset)
		if _, twice := d.find(name); twice {
			d.fault(line, name, "stands twice")
			continue
		}
		d.fields = append(d.fields, field{name: name, line: line, value: member.Value.Value})
	}
	return d, nil
}

// find returns the field of a name.
func (d *document) find(name string) (field, bool) {
	for _, found := range d.fields {
		if found.name == name {
			return found, true
		}
	}
	return field{}, false
}

// lineOf returns the line of a field, or of the document when it is missing.
func (d *document) lineOf(name string) int {
	if found, ok := d.find(name); ok {
		return found.line
	}
	return d.line
}

// take returns a field and notes that its name is allowed.
func (d *document) take(name string) (field, bool) {
	d.asked = append(d.asked, name)
	return d.find(name)
}

// require returns a field like take and reports it when it is missing.
func (d *document) require(name, allowed string) (field, bool) {
	found, ok := d.take(name)
	if !ok {
		d.fault(d.line, name, "is missing; allowed: "+allowed)
	}
	return found, ok
}

// refuseRest reports every field that nobody asked for.
func (d *document) refuseRest() {
	for _, found := range d.fields {
		if !slices.Contains(d.asked, found.name) {
			d.fault(found.line, found.name, "is not a known field; known: "+strings.Join(d.asked, ", "))
		}
	}
}

func (d *document) fault(line int, name, problem string) {
	d.faults = append(d.faults, &Fault{Line: line, Field: oneLine(name), Problem: problem})
}

// wrong reports a value that is not allowed.
func (d *document) wrong(name string, found field, allowed string) {
	d.fault(found.line, name, "is "+describe(found.value)+"; allowed: "+allowed)
}

// -----------------------------------------------------------------------------

// describedLimit is the number of bytes of a value that a fault shows.
const describedLimit = 60

// describe shows a value in one short line.
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

// oneLine shortens a text to a line of valid printable characters.
func oneLine(text string) string {
	shortened := text
	if len(shortened) > describedLimit {
		shortened = shortened[:describedLimit] + "..."
	}
	return strings.Map(printable, strings.ToValidUTF8(shortened, "?"))
}

func printable(r rune) rune {
	if r < ' ' || r == 0x7f {
		return '?'
	}
	return r
}

// syntaxFault finds the line of a syntax error by parsing the lines before it:
// the parser's message holds line and column, which the fault carries itself.
func syntaxFault(content []byte, err error) *Fault {
	message := err.Error()
	line := 1
	if rest, ok := strings.CutPrefix(message, "hujson: line "); ok {
		line, message = splitLine(rest)
	}
	return &Fault{Line: min(line, 1+bytes.Count(content, []byte{'\n'})), Problem: "is not JSON with comments: " + message}
}

// splitLine splits "12, column 3: cause" into the line and the rest.
func splitLine(text string) (line int, rest string) {
	digits := 0
	for digits < len(text) && text[digits] >= '0' && text[digits] <= '9' {
		line = line*10 + int(text[digits]-'0')
		digits++
	}
	return max(line, 1), strings.TrimPrefix(text[digits:], ", ")
}

// -----------------------------------------------------------------------------

// lineCounter turns offsets that grow into lines without counting twice.
type lineCounter struct {
	content []byte
	offset  int
	line    int
}

func newLineCounter(content []byte) *lineCounter {
	return &lineCounter{content: content, line: 1}
}

// lineAt returns the line of an offset, counted from 1.
func (c *lineCounter) lineAt(offset int) int {
	if offset < c.offset {
		c.offset, c.line = 0, 1
	}
	c.line += bytes.Count(c.content[c.offset:offset], []byte{'\n'})
	c.offset = offset
	return c.line
}
