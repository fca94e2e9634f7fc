// Idempotency keys: UUIDv7, whose first 48 bits are the creation time.

package deduplicator

import (
	"errors"

	"github.com/google/uuid"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// StepParse is the step of the errors of ParseKey.
const StepParse = flow.Step("parse-idempotency-key")

const (
	keyLength  = 36 // characters of a UUID in its canonical form
	keyVersion = 7
)

var (
	errNotUUID   = errors.New("not a UUID of 36 characters")
	errNotUUIDv7 = errors.New("not a UUIDv7")
)

// Key is an idempotency key. It does not depend on the case in which the UUID
// was written.
type Key uuid.UUID

// ParseKey parses the canonical form of a UUIDv7, in upper or lower case.
func ParseKey(text string) (Key, error) {
	if len(text) != keyLength {
		return Key{}, flow.Wrap(StepParse, "", errNotUUID)
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, flow.Wrap(StepParse, "", errNotUUID)
	}
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, flow.Wrap(StepParse, "", errNotUUIDv7)
	}
	return Key(id), nil
}

// String returns the canonical form of the key.
func (k Key) String() string { return uuid.UUID(k).String() }

// CreatedMillis returns when the key was created, in milliseconds since 1970 on
// the wall clock of the caller that created it.
func (k Key) CreatedMillis() int64 {
	var millis int64
	for _, b := range k[:6] {
		millis = millis<<8 | int64(b)
	}
	return millis
}
