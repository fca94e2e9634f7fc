// Record bodies repeat the same field names hundreds of thousands of times.
// pack replaces frequent strings by control characters. JSON allows these only
// as white space, so a body without them unpacks to exactly what it was. The
// prefix with kind and name is replaced too, since both are stored beside the
// body, and a hash is stored as bytes.

package merger

import (
	"bytes"
	"encoding/hex"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Codes in a packed body.
const (
	rawMarker           = '\x00' // starts a body that is stored unchanged
	prefixCode          = '\x01' // stands for bodyPrefix at the start of a body
	hashCode            = '\x02' // precedes the bytes of a hash; at most one in a body
	firstDictionaryCode = '\x03' // code of the first string in dictionary
)

// dictionary lists the strings that are replaced by one control character each.
// A string must come before any of its own prefixes.
var dictionary = []string{
	`","schema":1,"customer":"`,
	`","schema":2,"customer":"`,
	`","schema":1,"service":"`,
	`","schema":2,"service":"`,
	`","schema":1,"description":"`,
	`","schema":1,"availability-zone":"`,
	`","schema":1}`,
	`","peer-address":"`,
	`","data-address":"`,
	`"connection-cost":"`,
	`"cold-start":"`,
	`","per-second":`,
	`","requests":`,
	`,"burst":`,
	`,"per":"`,
	`","host":"`,
	`","address":"`,
	`"connections":`,
	`"slots":`,
	`"state":"live"`,
	`"withdrawn":`,
	`"path-prefix":"`,
	`"methods":["`,
	`"idempotent-methods":["`,
}

var packer, unpacker = newReplacers(dictionary)

// newReplacers returns the replacers for packing and unpacking.
func newReplacers(dictionary []string) (pack, unpack *strings.Replacer) {
	var packPairs, unpackPairs []string
	for i, text := range dictionary {
		code := string(rune(firstDictionaryCode + i))
		packPairs = append(packPairs, text, code)
		unpackPairs = append(unpackPairs, code, text)
	}
	return strings.NewReplacer(packPairs...), strings.NewReplacer(unpackPairs...)
}

// pack returns a copy of a record's body that takes less memory.
func pack(id flow.RecordID, body []byte) string {
	if len(body) == 0 {
		return ""
	}
	if bytes.ContainsFunc(body, isControl) {
		return string(rawMarker) + string(body)
	}
	rest, hasPrefix := strings.CutPrefix(string(body), bodyPrefix(id))
	packed := packHash(rest)
	if hasPrefix {
		packed = string(prefixCode) + packed
	}
	return packed
}

// unpack returns the body that pack was given.
func unpack(id flow.RecordID, packed string) []byte {
	if packed == "" {
		return nil
	}
	if packed[0] == rawMarker {
		return []byte(packed[1:])
	}
	rest, hasPrefix := strings.CutPrefix(packed, string(prefixCode))
	body := unpackHash(rest)
	if hasPrefix {
		body = bodyPrefix(id) + body
	}
	return []byte(body)
}

func isControl(r rune) bool { return r < ' ' }

// bodyPrefix returns how the body of a record usually starts.
func bodyPrefix(id flow.RecordID) string {
	return `{"kind":"` + string(id.Kind) + `","name":"` + id.Name
}

const (
	hashFieldStart = `","hash":"`
	hashBytes      = 32 // SHA-256
	hashDigits     = 2 * hashBytes
)

// packHash packs the part of a body after its prefix. It converts a hash only
// if that can be reversed exactly.
func packHash(body string) string {
	before, after, found := strings.Cut(body, hashFieldStart)
	if !found || len(after) < hashDigits {
		return packer.Replace(body)
	}
	digits := after[:hashDigits]
	hash, err := hex.DecodeString(digits)
	if err != nil || hex.EncodeToString(hash) != digits {
		return packer.Replace(body)
	}
	return packer.Replace(before) + string(hashCode) + string(hash) + packer.Replace(after[hashDigits:])
}

// unpackHash reverses packHash. Only hashCode is followed by arbitrary bytes,
// so the first hashCode is the only one.
func unpackHash(packed string) string {
	before, after, found := strings.Cut(packed, string(hashCode))
	if !found {
		return unpacker.Replace(packed)
	}
	digits := hex.EncodeToString([]byte(after[:hashBytes]))
	return unpacker.Replace(before) + hashFieldStart + digits + unpacker.Replace(after[hashBytes:])
}
