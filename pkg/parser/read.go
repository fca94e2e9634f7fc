// Operators keep records as a tree of files under version control. This file
// turns such a tree into the records that the platform publishes.

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

// ReadRecords reads every file of the tree at dir whose name ends in .json or
// .hujson. A file holds one record or an array of records. It returns the
// records that are well-formed, with bodies of plain JSON and revision 0, in
// the order of the files' paths, and an error with file and line for each
// fault.
func ReadRecords(dir string) ([]flow.RawRecord, []error) {
	reader := recordReader{positions: make(map[flow.RecordID]string)}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			reader.fail(path, err)
		case !entry.IsDir() && isRecordFile(path):
			reader.readFile(path)
		}
		return nil
	})
	if err != nil {
		reader.fail(dir, err)
	}
	return reader.records, reader.errs
}

func isRecordFile(path string) bool {
	extension := filepath.Ext(path)
	return extension == ".json" || extension == ".hujson"
}

// recordReader gathers the records and the faults of a tree.
type recordReader struct {
	records   []flow.RawRecord
	positions map[flow.RecordID]string // file:line
	errs      []error
}

func (r *recordReader) fail(peer string, err error) {
	r.errs = append(r.errs, flow.Wrap(StepReadRecords, peer, err))
}

func (r *recordReader) readFile(path string) {
	content, err := os.ReadFile(path)
	if err != nil {
		r.fail(path, err)
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
	if before, twice := r.positions[id]; twice {
		r.fail(at, fmt.Errorf("%s stands already at %s", describeID(id), before))
		return
	}
	value.Minimize()
	body := value.Pack()
	if len(body) > RecordSizeLimit {
		r.fail(at, errRecordSize)
		return
	}
	r.positions[id] = at
	r.records = append(r.records, flow.RawRecord{Kind: id.Kind, Name: id.Name, Body: body})
}

// addFaults reports one error for each fault, or one at line for any other
// error.
func (r *recordReader) addFaults(path string, line int, err error) {
	var faults Faults
	if errors.As(err, &faults) {
		r.errs = append(r.errs, wrapFaults(StepReadRecords, path, faults)...)
		return
	}
	r.fail(position(path, line), err)
}
