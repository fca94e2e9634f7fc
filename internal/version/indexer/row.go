// The rows of customers, keys and rates.

package indexer

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// The first byte of the rest of a key's row; the customer follows.
const (
	keyInForce   = "\x00"
	keyWithdrawn = "\x01"
)

// customerRow returns the row of a customer by its name.
func customerRow(customer *flow.Customer) packedRow {
	return packedRow{key: customer.Name, rest: customer.Description}
}

// keyRow returns the row of a key by its hash, and false when the hash is not
// one.
func keyRow(key *flow.Key) (packedRow, bool) {
	hash, err := hex.DecodeString(key.Hash)
	if err != nil {
		return packedRow{}, false
	}
	state := keyInForce
	if key.Withdrawn {
		state = keyWithdrawn
	}
	return packedRow{key: string(hash), name: key.Name, rest: state + key.Customer}, true
}

// rateRow returns the row of a rate by its customer.
func rateRow(rate *flow.Rate) packedRow {
	rest := appendFloat(nil, rate.PerSecond)
	rest = binary.AppendUvarint(rest, uint64(rate.Burst))
	for region, share := range rate.RegionShares {
		rest = appendText(rest, region)
		rest = appendFloat(rest, share)
	}
	return packedRow{key: rate.Customer, name: rate.Name, rest: string(rest)}
}

// readRate reads a rate from its row.
func (r packedRow) readRate(rate *flow.Rate) {
	rate.Name, rate.Customer = r.name, r.key
	rest := r.rest
	rate.PerSecond, rest = cutFloat(rest)
	burst, rest := cutNumber(rest)
	rate.Burst = int(burst)
	for rest != "" {
		if rate.RegionShares == nil {
			rate.RegionShares = make(map[string]float64)
		}
		var region string
		region, rest = cutText(rest)
		rate.RegionShares[region], rest = cutFloat(rest)
	}
}
