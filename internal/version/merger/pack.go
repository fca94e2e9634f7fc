// Bodies repeat the names of their fields hundreds of thousands of times.
// Packing replaces the frequent pieces by control characters, which JSON
// allows nowhere but as white space, so that a body that holds none unpacks to
// exactly what it was. The beginning that says kind and name is one such piece,
// since they are held beside the body, and hashes are held as bytes.

package merger

import (
	"bytes"
	"encoding/hex"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// Codes of a packed body.
const (
	rawMark   = '\x00' // begins a body that is held as it came
	headCode  = '\x01' // begins a body that begins with its kind and name
	hashCode  = '\x02' // precedes the bytes of a hash; at most one stands in a body
	pieceCode = '\x03' // code of the first of packedPieces
)

// packedPieces are the pieces that have a control character of their own.
// Longer pieces stand before their own beginnings.
var packedPieces = []string{
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

var packer, unpacker = newReplacers(packedPieces)

// newReplacers returns the replacers for packing and unpacking.
func newReplacers(pieces []string) (pack, unpack *strings.Replacer) {
	var forth, back []string
	for i, piece := range pieces {
		code := string(rune(pieceCode + i))
		forth = append(forth, piece, code)
		back = append(back, code, piece)
	}
	return strings.NewReplacer(forth...), strings.NewReplacer(back...)
}

// pack returns a copy of the body of a record that takes less memory.
func pack(id flow.RecordID, body []byte) string {
	if len(body) == 0 {
		return ""
	}
	if bytes.ContainsFunc(body, isControl) {
		return string(rawMark) + string(body)
	}
	rest, headed := strings.CutPrefix(string(body), head(id))
	packed := packHash(rest)
	if headed {
		packed = string(headCode) + packed
	}
	return packed
}

// unpack returns the body that was packed.
func unpack(id flow.RecordID, packed string) []byte {
	if packed == "" {
		return nil
	}
	if packed[0] == rawMark {
		return []byte(packed[1:])
	}
	rest, headed := strings.CutPrefix(packed, string(headCode))
	body := unpackHash(rest)
	if headed {
		body = head(id) + body
	}
	return []byte(body)
}

func isControl(r rune) bool { return r < ' ' }

// head returns how the body of a record usually begins.
func head(id flow.RecordID) string {
	return `{"kind":"` + string(id.Kind) + `","name":"` + id.Name
}

// -----------------------------------------------------------------------------

const (
	hashPiece   = `","hash":"`
	hashSize    = 32 // bytes
	hashHexSize = 2 * hashSize
)

// packHash packs the part of a body behind its head.
func packHash(body string) string {
	before, after, found := strings.Cut(body, hashPiece)
	if !found || len(after) < hashHexSize {
		return packer.Replace(body)
	}
	digits := after[:hashHexSize]
	hash, err := hex.DecodeString(digits)
	if err != nil || hex.EncodeToString(hash) != digits {
		return packer.Replace(body)
	}
	return packer.Replace(before) + string(hashCode) + string(hash) + packer.Replace(after[hashHexSize:])
}

// unpackHash unpacks what packHash returned. No other code than hashCode is
// followed by bytes, so that the first one is the only one.
func unpackHash(packed string) string {
	before, after, found := strings.Cut(packed, string(hashCode))
	if !found {
		return unpacker.Replace(packed)
	}
	digits := hex.EncodeToString([]byte(after[:hashSize]))
	return unpacker.Replace(before) + hashPiece + digits + unpacker.Replace(after[hashSize:])
}
