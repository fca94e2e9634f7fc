// The body of a request while a daemon holds it.

package flow

import "bytes"

// Body is the body of a request in pieces, so that a large one takes no more memory than it
// has bytes while it arrives.
type Body [][]byte

// Len returns the length of the body in bytes.
func (b Body) Len() int64 {
	var length int64
	for _, piece := range b {
		length += int64(len(piece))
	}
	return length
}

// Bytes returns the body in one piece. It copies a body that has several.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}
