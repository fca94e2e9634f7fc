// The way from a published record to its parsed form: the table of kinds and
// schema versions, and what all kinds have in common.

package parser

import (
	"errors"
	"fmt"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// RecordSizeLimit is the most bytes of the body of one record.
const RecordSizeLimit = 64 << 10

// schemaLimit is the highest number that a schema version may have.
const schemaLimit = 1000000

// decoder decodes the fields of one kind in one schema version.
type decoder func(d *document, name string) flow.Record

// decoders is the table of all kinds and the schema versions in force.
var decoders = map[flow.Kind]map[int]decoder{
	flow.KindCustomer:         {1: decodeCustomer1},
	flow.KindKey:              {1: decodeKey1},
	flow.KindRate:             {1: decodeRate1, 2: decodeRate2},
	flow.KindRoute:            {1: decodeRoute1, 2: decodeRoute2},
	flow.KindService:          {1: decodeService1},
	flow.KindAvailabilityZone: {1: decodeAvailabilityZone1},
	flow.KindHost:             {1: decodeHost1},
	flow.KindBackendServer:    {1: decodeBackendServer1},
}

// KnownKinds returns the kinds of record in alphabetical order.
func KnownKinds() []flow.Kind {
	kinds := make([]flow.Kind, 0, len(decoders))
	for kind := range decoders {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// KnownSchemas returns the schema versions of a kind in ascending order; it is
// empty when the kind is not known.
func KnownSchemas(kind flow.Kind) []int {
	versions := decoders[kind]
	schemas := make([]int, 0, len(versions))
	for schema := range versions {
		schemas = append(schemas, schema)
	}
	slices.Sort(schemas)
	return schemas
}

var (
	errDeleted    = errors.New("a deleted record has no body")
	errRecordSize = errors.New("the body is larger than " + ByteSize(RecordSizeLimit).String())
)

// ParseRecord parses the body of a published record. The error holds an
// *UnknownKindError or an *UnknownSchemaError when a newer program published
// the record, and Faults when its fields are wrong.
func ParseRecord(raw flow.RawRecord) (flow.Record, error) {
	record, err := parseRecord(raw)
	if err != nil {
		return nil, flow.Wrap(StepParseRecord, describeID(raw.ID()), err)
	}
	return record, nil
}

func parseRecord(raw flow.RawRecord) (flow.Record, error) {
	if raw.Deleted {
		return nil, errDeleted
	}
	if len(raw.Body) > RecordSizeLimit {
		return nil, errRecordSize
	}
	d, faults := parseDocument(raw.Body)
	if len(faults) > 0 {
		return nil, faults
	}
	record, err := decodeRecord(d)
	if err != nil {
		return nil, err
	}
	if record.ID() != raw.ID() {
		return nil, fmt.Errorf("the body is that of %s", describeID(record.ID()))
	}
	return record, nil
}

// decodeRecord decodes a record of any known kind and schema version.
func decodeRecord(d *document) (flow.Record, error) {
	kind := flow.Kind(d.name("kind"))
	name := d.name("name")
	schema := d.requiredInteger("schema", 1, schemaLimit)
	if len(d.faults) > 0 {
		return nil, d.faults
	}
	versions, ok := decoders[kind]
	if !ok {
		return nil, &UnknownKindError{Kind: kind, Known: KnownKinds()}
	}
	decode, ok := versions[schema]
	if !ok {
		return nil, &UnknownSchemaError{Kind: kind, Schema: schema, Known: KnownSchemas(kind)}
	}
	record := decode(d, name)
	d.refuseRest()
	if len(d.faults) > 0 {
		return nil, d.faults
	}
	return record, nil
}

func describeID(id flow.RecordID) string {
	return oneLine(string(id.Kind)) + " " + oneLine(id.Name)
}
