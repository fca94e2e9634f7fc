// Package decoder decodes the msgpack messages that daemons send each other.
//
// The codec skips unknown fields by recursion without a bound, so deeply nested
// input would overflow the stack, which ends the process and cannot be recovered.
// It also allocates slices and maps by the length that the input declares. So the
// structure of a message is checked, without recursion, before it is decoded.
package decoder

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// maxDepth is the largest nesting depth of arrays and maps. The messages of this
// project nest less than ten levels deep.
const maxDepth = 32

// Error is the class of errors of malformed input.
var Error = errs.Class("decode")

// Unmarshal decodes a message into target, which is a pointer. The error is of the
// class Error, also if malformed input makes the codec panic.
func Unmarshal(message []byte, target any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = Error.New("%v", cause)
		}
	}()
	if err := Check(message); err != nil {
		return err
	}
	return Error.Wrap(msgpack.Unmarshal(message, target))
}

// Check returns an error if the first value of a message is nested too deeply, is
// truncated, or declares more elements than the message has bytes. The error is of
// the class Error.
func Check(message []byte) error {
	s := scanner{rest: message}
	var missing [maxDepth + 1]int // elements that are still to come, at each depth
	missing[0] = 1
	for depth := 0; depth >= 0; {
		if missing[depth] == 0 {
			depth--
			continue
		}
		missing[depth]--
		elements := s.next()
		if s.truncated || elements > len(s.rest) {
			return Error.New("the message is truncated")
		}
		if elements == 0 {
			continue
		}
		if depth == maxDepth {
			return Error.New("the message is nested more than %d levels deep", maxDepth)
		}
		depth++
		missing[depth] = elements
	}
	return nil
}

// scanner reads the values of a message one after the other.
type scanner struct {
	rest      []byte
	truncated bool
}

// Codes of the msgpack format. The codes between two of these constants belong to the
// first one unless a table says otherwise.
const (
	fixMapCode     = 0x80
	fixArrayCode   = 0x90
	fixStringCode  = 0xa0
	nilCode        = 0xc0
	negativeFixInt = 0xe0
)

// layout says what follows a code.
type layout struct {
	lengthBytes int // size of the length that follows
	payload     int // bytes that follow in addition to those that the length counts
	perElement  int // values for each element that the length counts; 0 if it counts bytes
}

// layouts holds the codes that are followed by a length or by a fixed number of bytes.
var layouts = map[byte]layout{
	0xc4: {lengthBytes: 1}, 0xc5: {lengthBytes: 2}, 0xc6: {lengthBytes: 4}, // byte strings
	0xc7: {lengthBytes: 1, payload: 1}, 0xc8: {lengthBytes: 2, payload: 1}, 0xc9: {lengthBytes: 4, payload: 1}, // extensions with a type
	0xca: {payload: 4}, 0xcb: {payload: 8}, // floating-point numbers
	0xcc: {payload: 1}, 0xcd: {payload: 2}, 0xce: {payload: 4}, 0xcf: {payload: 8}, // unsigned integers
	0xd0: {payload: 1}, 0xd1: {payload: 2}, 0xd2: {payload: 4}, 0xd3: {payload: 8}, // signed integers
	0xd4: {payload: 2}, 0xd5: {payload: 3}, 0xd6: {payload: 5}, 0xd7: {payload: 9}, 0xd8: {payload: 17}, // extensions of fixed size
	0xd9: {lengthBytes: 1}, 0xda: {lengthBytes: 2}, 0xdb: {lengthBytes: 4}, // texts
	0xdc: {lengthBytes: 2, perElement: 1}, 0xdd: {lengthBytes: 4, perElement: 1}, // arrays
	0xde: {lengthBytes: 2, perElement: 2}, 0xdf: {lengthBytes: 4, perElement: 2}, // maps
}

// next reads one value and returns the number of values that it contains, which follow
// it. Other values are read as a whole.
func (s *scanner) next() (elements int) {
	code := s.take(1)
	if s.truncated {
		return 0
	}
	switch c := code[0]; {
	case c < fixMapCode || c >= negativeFixInt:
		return 0
	case c < fixArrayCode:
		return 2 * int(c-fixMapCode)
	case c < fixStringCode:
		return int(c - fixArrayCode)
	case c < nilCode:
		s.take(int(c - fixStringCode))
		return 0
	default:
		l := layouts[c] // nil, booleans and the unused code have none
		length := s.length(l.lengthBytes)
		if l.perElement > 0 {
			return l.perElement * length
		}
		s.take(l.payload + length)
		return 0
	}
}

// length reads a length of the given number of bytes.
func (s *scanner) length(size int) int {
	var bytes [8]byte
	copy(bytes[len(bytes)-size:], s.take(size))
	return int(binary.BigEndian.Uint64(bytes[:]))
}

// take returns the next bytes, or nil if there are fewer.
func (s *scanner) take(count int) []byte {
	if count > len(s.rest) {
		s.truncated = true
		return nil
	}
	taken := s.rest[:count]
	s.rest = s.rest[count:]
	return taken
}
