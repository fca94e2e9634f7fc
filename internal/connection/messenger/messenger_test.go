package messenger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
)

// body is the body of a message in these tests.
type body struct {
	Text string `msgpack:"t"`
	Ages []byte `msgpack:"a"`
}

func TestEnvelopeSurvivesEncodingAndDecoding(t *testing.T) {
	is := is.New(t)
	payload, err := messenger.Encode(messenger.Envelope{ID: 9, Call: messenger.CallDraw}, body{Text: "x", Ages: []byte{1, 2}})
	is.NoErr(err)
	envelope, err := messenger.Decode(payload)
	is.NoErr(err)
	is.Equal(envelope.ID, uint64(9))
	is.Equal(envelope.Call.String(), "draw")
	var got body
	is.NoErr(messenger.DecodeBody(envelope, &got))
	is.Equal(got, body{Text: "x", Ages: []byte{1, 2}})
}

// FuzzDecode checks that malformed payloads cause no panic.
func FuzzDecode(f *testing.F) {
	valid, err := messenger.Encode(messenger.Envelope{ID: 1, Call: messenger.CallHeartbeat}, body{Text: "x"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Add([]byte{0xc1})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0xa1, 'b', 0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		envelope, err := messenger.Decode(payload)
		if err != nil {
			return
		}
		var got body
		_ = messenger.DecodeBody(envelope, &got)
	})
}
