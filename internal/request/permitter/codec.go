package permitter

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// document is a permit or a voucher. It is encoded as a msgpack map with one
// letter per field, field by field, because reflection would cost more than the
// signature. Decoding leaves missing fields at their zero values and skips
// unknown ones.
type document interface {
	// fieldCount returns the number of fields.
	fieldCount() int
	// writeFields writes all fields.
	writeFields(w *fieldWriter)
	// readField reads the value of the named field, or skips it if it is
	// unknown.
	readField(r *fieldReader, name string)
}

func (p *Permit) fieldCount() int { return 12 }

func (p *Permit) writeFields(w *fieldWriter) {
	w.string("a", p.Attempt)
	w.string("f", p.Sender)
	w.uint64("i", p.Incarnation)
	w.int64("t", int64(p.NotAfter))
	w.uint64("v", uint64(p.Revision))
	w.string("s", p.Server)
	w.string("o", p.Route)
	w.string("c", p.Customer)
	w.bytes("k", p.KeyHash)
	w.bytes("g", p.TargetHash)
	w.bool("d", p.Idempotent)
	w.int64("l", int64(p.Timeout))
}

func (p *Permit) readField(r *fieldReader, name string) {
	switch name {
	case "a":
		p.Attempt = r.string()
	case "f":
		p.Sender = r.string()
	case "i":
		p.Incarnation = r.uint64()
	case "t":
		p.NotAfter = flow.Time(r.int64())
	case "v":
		p.Revision = flow.Revision(r.uint64())
	case "s":
		p.Server = r.string()
	case "o":
		p.Route = r.string()
	case "c":
		p.Customer = r.string()
	case "k":
		p.KeyHash = r.bytes()
	case "g":
		p.TargetHash = r.bytes()
	case "d":
		p.Idempotent = r.bool()
	case "l":
		p.Timeout = time.Duration(r.int64())
	default:
		r.skip()
	}
}

func (v *Voucher) fieldCount() int { return 7 }

func (v *Voucher) writeFields(w *fieldWriter) {
	w.string("a", v.Attempt)
	w.string("h", v.Host)
	w.uint64("i", v.Incarnation)
	w.int64("t", int64(v.AnsweredAt))
	w.float64("l", v.Load)
	w.string("r", string(v.Reason))
	w.string("d", v.Detail)
}

func (v *Voucher) readField(r *fieldReader, name string) {
	switch name {
	case "a":
		v.Attempt = r.string()
	case "h":
		v.Host = r.string()
	case "i":
		v.Incarnation = r.uint64()
	case "t":
		v.AnsweredAt = flow.Time(r.int64())
	case "l":
		v.Load = r.float64()
	case "r":
		v.Reason = flow.Reason(r.string())
	case "d":
		v.Detail = r.string()
	default:
		r.skip()
	}
}

// codec encodes and decodes documents with reused buffers. It is not safe for
// concurrent use.
type codec struct {
	buffer bytes.Buffer
	writer fieldWriter
	source bytes.Reader
	reader fieldReader
}

func newCodec() *codec {
	return &codec{
		writer: fieldWriter{encoder: msgpack.NewEncoder(nil)},
		reader: fieldReader{decoder: msgpack.NewDecoder(nil)},
	}
}

// encode returns the encoded document. It is valid until the next call.
func (c *codec) encode(d document) ([]byte, error) {
	c.buffer.Reset()
	c.writer.encoder.Reset(&c.buffer)
	c.writer.err = c.writer.encoder.EncodeMapLen(d.fieldCount())
	d.writeFields(&c.writer)
	return c.buffer.Bytes(), c.writer.err
}

// decode sets the fields of a document. The document does not refer to encoded.
func (c *codec) decode(encoded []byte, d document) error {
	c.source.Reset(encoded)
	c.reader.decoder.Reset(&c.source)
	count, err := c.reader.decoder.DecodeMapLen()
	c.reader.err = err
	for i := 0; i < count && c.reader.err == nil; i++ {
		d.readField(&c.reader, c.reader.string())
	}
	return c.reader.err
}

// fieldWriter writes fields until the first error, and nothing after it.
type fieldWriter struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *fieldWriter) name(name string) {
	if w.err == nil {
		w.err = w.encoder.EncodeString(name)
	}
}

func (w *fieldWriter) string(name, value string) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeString(value)
	}
}

func (w *fieldWriter) bytes(name string, value []byte) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeBytes(value)
	}
}

func (w *fieldWriter) int64(name string, value int64) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeInt(value)
	}
}

func (w *fieldWriter) uint64(name string, value uint64) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeUint(value)
	}
}

func (w *fieldWriter) float64(name string, value float64) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeFloat64(value)
	}
}

func (w *fieldWriter) bool(name string, value bool) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeBool(value)
	}
}

// fieldReader reads fields until the first error, and returns zero values after
// it.
type fieldReader struct {
	decoder *msgpack.Decoder
	err     error
}

func (r *fieldReader) string() (value string) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeString()
	}
	return value
}

func (r *fieldReader) bytes() (value []byte) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeBytes()
	}
	return value
}

func (r *fieldReader) int64() (value int64) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeInt64()
	}
	return value
}

func (r *fieldReader) uint64() (value uint64) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeUint64()
	}
	return value
}

func (r *fieldReader) float64() (value float64) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeFloat64()
	}
	return value
}

func (r *fieldReader) bool() (value bool) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeBool()
	}
	return value
}

func (r *fieldReader) skip() {
	if r.err == nil {
		r.err = r.decoder.Skip()
	}
}
