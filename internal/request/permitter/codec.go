// The encoding: msgpack maps with a letter for each field, written and read
// field by field, since reflection would cost more than the signature. Readers
// take a missing field for its zero value, and skip one that they do not know.

package permitter

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// document is a permit or a voucher.
type document interface {
	// fields is the number of fields.
	fields() int
	// write writes all fields.
	write(w *fieldWriter)
	// read reads the value of one field.
	read(r *fieldReader, name string)
}

func (p *Permit) fields() int { return 12 }

func (p *Permit) write(w *fieldWriter) {
	w.text("a", p.Attempt)
	w.text("f", p.Sender)
	w.unsigned("i", p.Incarnation)
	w.number("t", int64(p.NotAfter))
	w.unsigned("v", uint64(p.Revision))
	w.text("s", p.Server)
	w.text("o", p.Route)
	w.text("c", p.Customer)
	w.bytes("k", p.KeyHash)
	w.bytes("g", p.TargetHash)
	w.flag("d", p.Idempotent)
	w.number("l", int64(p.Timeout))
}

func (p *Permit) read(r *fieldReader, name string) {
	switch name {
	case "a":
		p.Attempt = r.text()
	case "f":
		p.Sender = r.text()
	case "i":
		p.Incarnation = r.unsigned()
	case "t":
		p.NotAfter = flow.Time(r.number())
	case "v":
		p.Revision = flow.Revision(r.unsigned())
	case "s":
		p.Server = r.text()
	case "o":
		p.Route = r.text()
	case "c":
		p.Customer = r.text()
	case "k":
		p.KeyHash = r.bytes()
	case "g":
		p.TargetHash = r.bytes()
	case "d":
		p.Idempotent = r.flag()
	case "l":
		p.Timeout = time.Duration(r.number())
	default:
		r.skip()
	}
}

func (v *Voucher) fields() int { return 7 }

func (v *Voucher) write(w *fieldWriter) {
	w.text("a", v.Attempt)
	w.text("h", v.Host)
	w.unsigned("i", v.Incarnation)
	w.number("t", int64(v.AnsweredAt))
	w.fraction("l", v.Load)
	w.text("r", string(v.Reason))
	w.text("d", v.Detail)
}

func (v *Voucher) read(r *fieldReader, name string) {
	switch name {
	case "a":
		v.Attempt = r.text()
	case "h":
		v.Host = r.text()
	case "i":
		v.Incarnation = r.unsigned()
	case "t":
		v.AnsweredAt = flow.Time(r.number())
	case "l":
		v.Load = r.fraction()
	case "r":
		v.Reason = flow.Reason(r.text())
	case "d":
		v.Detail = r.text()
	default:
		r.skip()
	}
}

// -----------------------------------------------------------------------------

// codec encodes and decodes documents in memory that it uses again. It is for
// one goroutine at a time.
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

// encode returns the encoded document, which holds until the next call.
func (c *codec) encode(d document) ([]byte, error) {
	c.buffer.Reset()
	c.writer.encoder.Reset(&c.buffer)
	c.writer.err = c.writer.encoder.EncodeMapLen(d.fields())
	d.write(&c.writer)
	return c.buffer.Bytes(), c.writer.err
}

// decode fills in a document, which keeps nothing of encoded.
func (c *codec) decode(encoded []byte, d document) error {
	c.source.Reset(encoded)
	c.reader.decoder.Reset(&c.source)
	count, err := c.reader.decoder.DecodeMapLen()
	c.reader.err = err
	for i := 0; i < count && c.reader.err == nil; i++ {
		d.read(&c.reader, c.reader.text())
	}
	return c.reader.err
}

// -----------------------------------------------------------------------------

// fieldWriter writes fields until the first error.
type fieldWriter struct {
	encoder *msgpack.Encoder
	err     error
}

func (w *fieldWriter) name(name string) {
	if w.err == nil {
		w.err = w.encoder.EncodeString(name)
	}
}

func (w *fieldWriter) text(name, value string) {
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

func (w *fieldWriter) number(name string, value int64) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeInt(value)
	}
}

func (w *fieldWriter) unsigned(name string, value uint64) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeUint(value)
	}
}

func (w *fieldWriter) fraction(name string, value float64) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeFloat64(value)
	}
}

func (w *fieldWriter) flag(name string, value bool) {
	w.name(name)
	if w.err == nil {
		w.err = w.encoder.EncodeBool(value)
	}
}

// -----------------------------------------------------------------------------

// fieldReader reads fields until the first error, and zero values after it.
type fieldReader struct {
	decoder *msgpack.Decoder
	err     error
}

func (r *fieldReader) text() (value string) {
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

func (r *fieldReader) number() (value int64) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeInt64()
	}
	return value
}

func (r *fieldReader) unsigned() (value uint64) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeUint64()
	}
	return value
}

func (r *fieldReader) fraction() (value float64) {
	if r.err == nil {
		value, r.err = r.decoder.DecodeFloat64()
	}
	return value
}

func (r *fieldReader) flag() (value bool) {
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
