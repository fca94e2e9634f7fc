// This file converts customers, keys and rates to and from packed rows.

package indexer

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// First byte of the value in a key's row; the name of the customer follows.
const (
	activeKey    = "\x00"
	withdrawnKey = "\x01"
)

// customerRow returns the row of a customer, by name.
func customerRow(customer *flow.Customer) packedRow {
	return packedRow{key: customer.Name, value: customer.Description}
}

// keyRow returns the row of a key, by hash. It returns false if the hash is not
// hexadecimal.
func keyRow(key *flow.Key) (packedRow, bool) {
	hash, err := hex.DecodeString(key.Hash)
	if err != nil {
		return packedRow{}, false
	}
	state := activeKey
	if key.Withdrawn {
		state = withdrawnKey
	}
	return packedRow{key: string(hash), name: key.Name, value: state + key.Customer}, true
}

// rateRow returns the row of a rate, by customer.
func rateRow(rate *flow.Rate) packedRow {
	value := appendFloat(nil, rate.PerSecond)
	value = binary.AppendUvarint(value, uint64(rate.Burst))
	for region, share := range rate.RegionShares {
		value = appendString(value, region)
		value = appendFloat(value, share)
	}
	return packedRow{key: rate.Customer, name: rate.Name, value: string(value)}
}

// readRate decodes a row into a rate.
func (r packedRow) readRate(rate *flow.Rate) {
	rate.Name, rate.Customer = r.name, r.key
	rest := r.value
	rate.PerSecond, rest = readFloat(rest)
	burst, rest := readUvarint(rest)
	rate.Burst = int(burst)
	for rest != "" {
		if rate.RegionShares == nil {
			rate.RegionShares = make(map[string]float64)
		}
		var region string
		region, rest = readString(rest)
		rate.RegionShares[region], rest = readFloat(rest)
	}
}
