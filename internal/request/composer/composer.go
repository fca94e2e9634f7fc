// Package composer creates requests that an HTTP transport sends at most once.
//
// A transport of net/http retries a request on another connection if it
// considers the request idempotent, by its method or an Idempotency-Key header,
// and can send the body again. Forwarded requests must not be retried that way,
// because the code that counts attempts would not know of it.
package composer

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// idempotencyHeaders are the headers that make a transport consider a request
// idempotent, each with a spelling that the transport does not recognize.
var idempotencyHeaders = []struct{ canonical, other string }{
	{"Idempotency-Key", "idempotency-key"},
	{"X-Idempotency-Key", "x-idempotency-key"},
}

// noUserAgent keeps the transport from adding its own User-Agent header.
var noUserAgent = []string{""}

// unframed makes the transport send a body of unknown length as it is.
// Otherwise the transport would probe the body for a first byte, which costs a
// goroutine and a timer.
var unframed = []string{"identity"}

// Compose returns a request with a header and a body. It takes ownership of the
// header and changes it. An empty host stands for the host of the target. The
// error is that of http.NewRequestWithContext.
func Compose(ctx context.Context, method, target, host string, header http.Header, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Host = host
	request.Header = header
	setBody(request, body)
	for _, name := range idempotencyHeaders {
		if values, ok := header[name.canonical]; ok {
			delete(header, name.canonical)
			header[name.other] = values
		}
	}
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = noUserAgent
	}
	return request, nil
}

// SetStream gives a request that was composed without a body one of a known length, which is
// not empty and can be read once.
func SetStream(request *http.Request, body io.ReadCloser, length int64) {
	request.Body, request.ContentLength, request.TransferEncoding = body, length, nil
}

// setBody gives a request a body that cannot be read twice, so that the
// transport cannot send it again. An empty body of POST, PUT or PATCH is sent
// with a Content-Length of 0. For other methods an empty body adds nothing to
// the message, but the transport still treats the request as one with a body,
// and so does not retry it.
//
// The transport recognizes this kind of reader as in memory, and writes head
// and body together.
func setBody(request *http.Request, body []byte) {
	if len(body) == 0 {
		switch request.Method {
		case http.MethodPost, http.MethodPut, http.MethodPatch:
			return
		}
		request.TransferEncoding = unframed
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.GetBody = nil
}
