// Bodies repeat the names of their fields hundreds of thousands of times.
// Packing replaces the frequent pieces by control characters, which JSON
// allows nowhere but as white space, so that a body that holds none unpacks to
// exactly what it was.

package merger

import (
	"bytes"
	"strings"
)

// packedPieces are the pieces that have a control character of their own.
// Longer pieces stand before their own beginnings.
var packedPieces = []string{
	`{"kind":"customer","name":"`,
	`{"kind":"key","name":"`,
	`{"kind":"rate","name":"`,
	`{"kind":"route","name":"`,
	`{"kind":"backend-server","name":"`,
	`","schema":1,"customer":"`,
	`","schema":2,"customer":"`,
	`","schema":1,"service":"`,
	`","schema":2,"service":"`,
	`","schema":1,"description":"`,
	`","schema":1}`,
	`","hash":"`,
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

// rawMark begins a body that is held as it came.
const rawMark = '\x00'

var packer, unpacker = newReplacers(packedPieces)

// newReplacers returns the replacers for packing and unpacking.
func newReplacers(pieces []string) (pack, unpack *strings.Replacer) {
	var forth, back []string
	for i, piece := range pieces {
		code := string(rune(i + 1))
		forth = append(forth, piece, code)
		back = append(back, code, piece)
	}
	return strings.NewReplacer(forth...), strings.NewReplacer(back...)
}

// pack returns a copy of body that takes less memory.
func pack(body []byte) string {
	if len(body) == 0 {
		return ""
	}
	if bytes.ContainsFunc(body, isControl) {
		return string(rawMark) + string(body)
	}
	return packer.Replace(string(body))
}

// unpack returns the body that was packed.
func unpack(packed string) []byte {
	if packed == "" {
		return nil
	}
	if packed[0] == rawMark {
		return []byte(packed[1:])
	}
	return []byte(unpacker.Replace(packed))
}

func isControl(r rune) bool { return r < ' ' }
