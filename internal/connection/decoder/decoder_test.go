package decoder_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/decoder"
)

// known is a message with a field for each kind of value.
type known struct {
	Text   string            `msgpack:"t"`
	Bytes  []byte            `msgpack:"b"`
	Number float64           `msgpack:"n"`
	Small  int               `msgpack:"s"`
	Large  uint64            `msgpack:"l"`
	Flag   bool              `msgpack:"f"`
	Nested *known            `msgpack:"k"`
	List   []int             `msgpack:"a"`
	Table  map[string]string `msgpack:"m"`
	At     time.Time         `msgpack:"z"`
}

func TestDecodesWhatTheCodecEncodes(t *testing.T) {
	is := is.New(t)
	sent := known{
		Text: strings.Repeat("x", 70000), Bytes: bytes.Repeat([]byte{7}, 300), Number: 1.5, Small: -70000, Large: 1 << 63, Flag: true,
		Nested: &known{Text: "y", List: []int{}, Table: map[string]string{}, Bytes: []byte{}, At: time.Unix(4e9, 5)},
		List:   make([]int, 70000), Table: map[string]string{"a": "b"}, At: time.Unix(5, 6),
	}
	encoded, err := msgpack.Marshal(sent)
	is.NoErr(err)
	var received known
	is.NoErr(decoder.Unmarshal(encoded, &received))
	is.True(received.At.Equal(sent.At))
	is.True(received.Nested.At.Equal(sent.Nested.At))
	received.At, received.Nested.At = sent.At, sent.Nested.At
	is.Equal(received, sent)
	for cut := range encoded[:400] {
		is.True(decoder.Unmarshal(encoded[:cut], &received) != nil)
	}
}

// TestMalformedMessages checks that a malformed message of another daemon is an error.
// The codec skips unknown fields by recursion: 8 MB of nested arrays overflowed the
// stack and ended the process.
func TestMalformedMessages(t *testing.T) {
	const deep = 8 << 20
	unknownField := []byte{0x81, 0xa1, 'u'}
	cases := map[string]struct {
		message []byte
		want    string
	}{
		"arrays nested deeply in an unknown field": {append(unknownField, bytes.Repeat([]byte{0x91}, deep)...), "levels deep"},
		"maps nested deeply in an unknown field":   {append(unknownField, bytes.Repeat([]byte{0x81, 0xa0}, deep/2)...), "levels deep"},
		"long arrays nested deeply":                {bytes.Repeat([]byte{0xdd, 0, 0, 0, 1}, deep/5), "levels deep"},
		"array longer than the message":            {[]byte{0x81, 0xa1, 'a', 0xdd, 0xff, 0xff, 0xff, 0xff, 1}, "truncated"},
		"map longer than the message":              {[]byte{0xdf, 0xff, 0xff, 0xff, 0xff, 1}, "truncated"},
		"text longer than the message":             {[]byte{0x81, 0xa1, 't', 0xdb, 0xff, 0xff, 0xff, 0xff, 'x'}, "truncated"},
		"empty":                                    {nil, "truncated"},
		"unused code":                              {[]byte{0xc1}, ""},
		"value of another type":                    {[]byte{0x81, 0xa1, 't', 0x91, 1}, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var received known
			err := decoder.Unmarshal(tc.message, &received)
			is.True(err != nil)
			is.True(decoder.Error.Has(err))
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}

// FuzzUnmarshal checks that no input ends the process.
func FuzzUnmarshal(f *testing.F) {
	encoded, err := msgpack.Marshal(known{Text: "x", List: []int{1, 2}, Table: map[string]string{"a": "b"}, At: time.Unix(5, 6)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(bytes.Repeat([]byte{0x91}, 1<<16))
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, message []byte) {
		var received known
		_ = decoder.Unmarshal(message, &received)
	})
}
