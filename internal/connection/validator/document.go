package validator

import (
	"encoding/json"
	"errors"
	"io"
)

// DecodeJSON decodes the body of a response that is one JSON document. It reads the body to its
// end, so that a body that is cut or goes on after the document is an error.
func DecodeJSON(body io.Reader, target any) error {
	decoder := json.NewDecoder(body)
	if err := decoder.Decode(target); err != nil {
		return err
	}
	_, err := decoder.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return Error.New("bytes after the document")
	}
	return err
}
