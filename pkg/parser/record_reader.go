// Reading of records from a tree of files, as operators keep them under version
// control.

package parser

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/tailscale/hujson"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// ReadRecords reads all files below dir whose names end in .json or .hujson. A
// file holds one record or an array of records. It returns the valid records in
// the order of the files' paths, with bodies of plain JSON and revision 0, and one
// *flow.Error with file and line for each fault.
func ReadRecords(dir string) ([]flow.RawRecord, []error) {
	reader := recordReader{positions: make(map[flow.RecordID]string)}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			reader.addError(path, err)
		case !entry.IsDir() && isRecordFile(path):
			reader.readFile(path)
		}
		return nil
	})
	if err != nil {
		reader.addError(dir, err)
	}
	return reader.records, reader.errs
}

func isRecordFile(path string) bool {
	extension := filepath.Ext(path)
	return extension == ".json" || extension == ".hujson"
}

// recordReader collects the records and errors of a tree.
type recordReader struct {
	records   []flow.RawRecord
	positions map[flow.RecordID]string // file:line
	errs      []error
}

func (r *recordReader) addError(peer string, err error) {
	r.errs = append(r.errs, flow.Wrap(StepReadRecords, peer, err))
}

func (r *recordReader) readFile(path string) {
	content, err := os.ReadFile(path)
	if err != nil {
		r.addError(path, err)
		return
	}
	value, err := hujson.Parse(content)
	if err != nil {
		r.addFaults(path, 1, Faults{syntaxFault(content, err)})
		return
	}
	lines := newLineCounter(content)
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		r.readValue(path, lines, value)
		return
	}
	for _, element := range array.Elements {
		r.readValue(path, lines, element)
	}
}

func (r *recordReader) readValue(path string, lines *lineCounter, value hujson.Value) {
	line := lines.lineAt(value.StartOffset)
	d, faults := newDocument(lines, value)
	if len(faults) > 0 {
		r.addFaults(path, line, faults)
		return
	}
	record, err := decodeRecord(d)
	if err != nil {
		r.addFaults(path, line, err)
		return
	}
	r.addRecord(position(path, line), record.ID(), value)
}

func (r *recordReader) addRecord(at string, id flow.RecordID, value hujson.Value) {
	if first, duplicate := r.positions[id]; duplicate {
		r.addError(at, fmt.Errorf("%s is already defined at %s", describeID(id), first))
		return
	}
	value.Minimize()
	body := value.Pack()
	if len(body) > MaxRecordBytes {
		r.addError(at, errRecordTooLarge)
		return
	}
	r.positions[id] = at
	r.records = append(r.records, flow.RawRecord{Kind: id.Kind, Name: id.Name, Body: body})
}

// addFaults adds one error for each fault in err, or one at line if err holds no
// Faults.
func (r *recordReader) addFaults(path string, line int, err error) {
	var faults Faults
	if errors.As(err, &faults) {
		r.errs = append(r.errs, wrapFaults(StepReadRecords, path, faults)...)
		return
	}
	r.addError(position(path, line), err)
}
