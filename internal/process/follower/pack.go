// Compression of configurations, the only large data that daemons send each other.
// The daemon that reads a configuration from the platform compresses it once, and
// the others relay it as it is.

package follower

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/decoder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// unpackedLimit bounds a decompressed configuration in bytes.
const unpackedLimit = 64 << 20

var errTooLarge = errors.New("the configuration is too large")

// pack encodes and compresses a configuration.
func pack(configuration *flow.Configuration) ([]byte, error) {
	encoded, err := msgpack.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack reverses pack.
func unpack(packed []byte) (*flow.Configuration, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackedLimit+1))
	if err != nil {
		return nil, err
	}
	if len(encoded) > unpackedLimit {
		return nil, errTooLarge
	}
	configuration := &flow.Configuration{}
	return configuration, decoder.Unmarshal(encoded, configuration)
}

// addBothForms gives every configuration of an update its plain and its packed form.
func addBothForms(update flow.Update) error {
	for i := range update.Changes {
		change := &update.Changes[i]
		var err error
		switch {
		case change.Configuration != nil && change.EncodedConfiguration == nil:
			change.EncodedConfiguration, err = pack(change.Configuration)
		case change.Configuration == nil && change.EncodedConfiguration != nil:
			change.Configuration, err = unpack(change.EncodedConfiguration)
		}
		if err != nil {
			return flow.Wrap("pack", change.Key, err)
		}
	}
	return nil
}

// hasConfiguration reports whether an update contains a configuration.
func hasConfiguration(update flow.Update) bool {
	for _, change := range update.Changes {
		if change.EncodedConfiguration != nil {
			return true
		}
	}
	return false
}
