// Idempotency keys: UUIDv7, whose first 48 bits are the time of making.

package deduplicator

import (
	"errors"

	"github.com/google/uuid"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// StepParse is the step of the errors of Parse.
const StepParse = flow.Step("parse-idempotency-key")

const (
	keyLength  = 36 // characters of a UUID in its usual form
	keyVersion = 7
)

var (
	errForm    = errors.New("not a UUID of 36 characters")
	errVersion = errors.New("not a UUIDv7")
)

// Key is an idempotency key. Two spellings of one UUID are the same Key.
type Key uuid.UUID

// Parse returns the key that text spells.
func Parse(text string) (Key, error) {
	if len(text) != keyLength {
		return Key{}, flow.Wrap(StepParse, "", errForm)
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, flow.Wrap(StepParse, "", errForm)
	}
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, flow.Wrap(StepParse, "", errVersion)
	}
	return Key(id), nil
}

// String returns the key in its usual form.
func (k Key) String() string { return uuid.UUID(k).String() }

// MadeMillis returns the time of making on the maker's wall clock, in
// milliseconds since 1970.
func (k Key) MadeMillis() int64 {
	var millis int64
	for _, b := range k[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis
}
