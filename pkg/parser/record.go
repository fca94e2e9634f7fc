// Parsing of published records: the table of kinds and schema versions, and the
// fields that all kinds share.

package parser

import (
	"errors"
	"fmt"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// MaxRecordBytes is the maximum size of a record's body, in bytes.
const MaxRecordBytes = 64 << 10

// maxSchema is the highest number of a schema version.
const maxSchema = 1000000

// decoder decodes the fields of one schema version of a kind.
type decoder func(d *document, name string) flow.Record

// decoders holds the decoders of all supported kinds and schema versions.
var decoders = map[flow.Kind]map[int]decoder{
	flow.KindCustomer:         {1: decodeCustomerV1},
	flow.KindKey:              {1: decodeKeyV1},
	flow.KindRate:             {1: decodeRateV1, 2: decodeRateV2},
	flow.KindRoute:            {1: decodeRouteV1, 2: decodeRouteV2},
	flow.KindService:          {1: decodeServiceV1},
	flow.KindAvailabilityZone: {1: decodeAvailabilityZoneV1},
	flow.KindHost:             {1: decodeHostV1},
	flow.KindBackendServer:    {1: decodeBackendServerV1},
}

// KnownKinds returns the supported kinds of record in alphabetical order.
func KnownKinds() []flow.Kind {
	kinds := make([]flow.Kind, 0, len(decoders))
	for kind := range decoders {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// KnownSchemas returns the supported schema versions of a kind in ascending order.
// The result is empty if the kind is unknown.
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
	errDeleted        = errors.New("a deleted record has no body")
	errRecordTooLarge = errors.New("the body is larger than " + ByteSize(MaxRecordBytes).String())
)

// ParseRecord parses the body of a published record. The error wraps an
// *UnknownKindError or *UnknownSchemaError if a newer program published the
// record, and Faults if fields are invalid.
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
	if len(raw.Body) > MaxRecordBytes {
		return nil, errRecordTooLarge
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

// decodeRecord decodes a record of any supported kind and schema version.
func decodeRecord(d *document) (flow.Record, error) {
	kind := flow.Kind(d.name("kind"))
	name := d.name("name")
	schema := d.requiredInteger("schema", 1, maxSchema)
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
	d.rejectUnknownFields()
	if len(d.faults) > 0 {
		return nil, d.faults
	}
	return record, nil
}

func describeID(id flow.RecordID) string {
	return oneLine(string(id.Kind)) + " " + oneLine(id.Name)
}
