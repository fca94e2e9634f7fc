package composer

import (
	"bytes"
	"net/http"
)

// preallocationLimit is the maximum memory, in bytes, that is allocated for a
// body by its Content-Length before any of it arrives.
const preallocationLimit = 64 << 10

// ReadBody reads the whole body of an incoming request, up to a limit in bytes.
// It returns an *http.MaxBytesError if the body is longer than that.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, preallocationLimit)) + bytes.MinRead) // room for the read that finds the end
	}
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, int64(limit)))
	return body.Bytes(), err
}
