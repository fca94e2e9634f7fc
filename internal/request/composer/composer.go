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
// idempotent, and other spellings of them. It looks for these spellings only.
var repeatHeaders = []struct{ canonical, other string }{
	{"Idempotency-Key", "idempotency-key"},
	{"X-Idempotency-Key", "x-idempotency-key"},
}

// noUserAgent keeps the transport from sending its own.
var noUserAgent = []string{""}

// unframed sends a body of unknown length as it is. The transport would look
// into such a body first, in a goroutine of its own and with a timer.
var unframed = []string{"identity"}

// Compose returns a request with a body and with headers, which it takes over.
// An empty host stands for that of the target.
func Compose(ctx context.Context, method, target, host string, header http.Header, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Host = host
	request.Header = header
	setBody(request, body)
	for _, name := range repeatHeaders {
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

// setBody gives a request a body that cannot be read twice. An empty body of a
// method that usually has one is sent with its length, which is 0; with other
// methods nothing of it is sent, though the transport takes it for a body.
//
// The transport knows this kind of reader to be in memory, and sends head and
// body in one piece.
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
