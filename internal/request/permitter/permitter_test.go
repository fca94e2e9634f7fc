package permitter_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/request/permitter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const secret = "a secret for loopback only"

var permits = map[string]permitter.Permit{
	"all fields": {
		Attempt: "0197-id/1", Sender: "host-2", Incarnation: 1<<63 + 9, NotAfter: 123_456, Revision: 42, Server: "ledger-1",
		Route: "ledger", Customer: "shop", KeyHash: []byte(strings.Repeat("k", 32)), TargetHash: []byte("0123456789abcdef"),
		Idempotent: true, Timeout: 5 * time.Second,
	},
	"open route": {Attempt: "id/2", Incarnation: 7, NotAfter: -3, TargetHash: []byte{0}, Timeout: -time.Millisecond},
	"no fields":  {},
}

// TestSignedValuesAreRead checks that signed permits and vouchers are read back
// unchanged.
func TestSignedValuesAreRead(t *testing.T) {
	is := is.New(t)
	p := permitter.New([]byte(secret))
	for name, permit := range permits {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			value, err := p.SignPermit(&permit)
			is.NoErr(err)
			checked, err := p.VerifyPermit(value)
			is.NoErr(err)
			is.Equal(*checked, permit)
		})
	}
	voucher := permitter.Voucher{Attempt: "id/1", Host: "host-1", Incarnation: 1<<63 + 9, AnsweredAt: 99, Load: 0.75, Reason: flow.ReasonNoCapacity, Detail: "full"}
	value, err := p.SignVoucher(&voucher)
	is.NoErr(err)
	checked, err := p.VerifyVoucher(value)
	is.NoErr(err)
	is.Equal(*checked, voucher)
}

// Header values as daemons of earlier versions sign them: numbers are encoded
// wider, and empty fields are omitted.
const (
	earlierPermit  = "jKFhqTAxOTctaWQvMaFmpmhvc3QtMqFpz4AAAAAAAAAJoXTTAAAAAAAB4kChds8AAAAAAAAAKqFzqGxlZGdlci0xoW-mbGVkZ2VyoWOkc2hvcKFrxCBra2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra6FnxBAwMTIzNDU2Nzg5YWJjZGVmoWTDoWzTAAAAASoF8gCDv8lgDaEjO_CTysur2KR_"
	earlierVoucher = "haFhpGlkLzGhaKZob3N0LTGhac8AAAAAAAAAB6F00wAAAAAAAABjoWzLP-gAAAAAAAB9wl7vCdIxLvPs1BrKNEp2"
)

// TestValuesOfEarlierVersionsAreRead keeps daemons compatible with those of
// earlier versions.
func TestValuesOfEarlierVersionsAreRead(t *testing.T) {
	is := is.New(t)
	p := permitter.New([]byte(secret))
	permit, err := p.VerifyPermit(earlierPermit)
	is.NoErr(err)
	is.Equal(*permit, permits["all fields"])
	voucher, err := p.VerifyVoucher(earlierVoucher)
	is.NoErr(err)
	is.Equal(*voucher, permitter.Voucher{Attempt: "id/1", Host: "host-1", Incarnation: 7, AnsweredAt: 99, Load: 0.75})
}

// TestInvalidPermitsAreRefused checks malformed, forged and altered permits.
func TestInvalidPermitsAreRefused(t *testing.T) {
	p := permitter.New([]byte(secret))
	permit := permits["all fields"]
	good, _ := p.SignPermit(&permit)
	otherSecret, _ := permitter.New([]byte("another secret")).SignPermit(&permit)
	voucher, _ := p.SignVoucher(&permitter.Voucher{Attempt: "0197-id/1"})
	raw, _ := base64.RawURLEncoding.DecodeString(good)
	cases := map[string]string{
		"empty value":                  "",
		"not base64":                   "!" + good,
		"shorter than the HMAC":        "AAAA",
		"signed with another secret":   otherSecret,
		"voucher in place of a permit": voucher,
		"over the length limit":        strings.Repeat("A", 5000),
		"last byte missing":            base64.RawURLEncoding.EncodeToString(raw[:len(raw)-1]),
	}
	for i := range raw {
		altered := bytes.Clone(raw)
		altered[i] ^= 1
		cases[fmt.Sprintf("bit flipped in byte %d", i)] = base64.RawURLEncoding.EncodeToString(altered)
	}
	for name, value := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := p.VerifyPermit(value)
			is.True(permitter.Error.Has(err))
		})
	}
}
