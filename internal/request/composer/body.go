// Reading the body of a request that comes in.

package composer

import (
	"bytes"
	"net/http"
)

// announcedLimit bounds the memory in bytes that is taken for a body before it
// comes.
const announcedLimit = 64 << 10

// ReadBody reads the body of a request whole. The error of one over the limit
// is an *http.MaxBytesError.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, announcedLimit)) + bytes.MinRead) // the end is found by one more read
	}
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, int64(limit)))
	return body.Bytes(), err
}
