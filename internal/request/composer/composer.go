// Package composer makes requests that an HTTP transport sends at most once.
//
// A transport of net/http repeats a request by itself on another connection when
// it takes it for idempotent: by its method, or by a header Idempotency-Key, if
// its body can be sent again. What is sent on for a caller must never be repeated
// without the knowledge of whoever counts attempts.
package composer

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// repeatHeaders are the headers by which a transport takes a request for
// idempotent. It looks for these spellings only.
var repeatHeaders = map[string]string{
	"Idempotency-Key":   "idempotency-key",
	"X-Idempotency-Key": "x-idempotency-key",
}

// Compose returns a request with a body and with headers, which it takes over.
// An empty host stands for that of the target.
func Compose(ctx context.Context, method, target, host string, header http.Header, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bodyOf(method, body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Host = host
	request.Header = header
	for canonical, other := range repeatHeaders {
		if values, ok := header[canonical]; ok {
			delete(header, canonical)
			header[other] = values
		}
	}
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""} // keeps the transport from sending its own
	}
	return request, nil
}

// bodyOf returns a body that cannot be read twice. An empty body of a method
// that usually has one is sent with its length, which is 0.
func bodyOf(method string, body []byte) io.Reader {
	if len(body) > 0 {
		return onceReader{bytes.NewReader(body)}
	}
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return http.NoBody
	}
	return onceReader{bytes.NewReader(nil)}
}

// onceReader hides every method of a reader but Read.
type onceReader struct{ io.Reader }
