// The handshake. The client sends its Identity and a nonce; the server answers
// with its own and a proof; the client sends its proof. A proof is an HMAC,
// keyed with the shared secret, over the role and both hellos.

package framer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// protocolVersion is the version of the frames and of the messages in them.
	protocolVersion = 1
	// nonceSize is the length of a nonce in bytes.
	nonceSize = 16
	// handshakeLimit bounds each payload of the handshake, in bytes.
	handshakeLimit = 512
	// handshakeTimeout bounds the whole handshake.
	handshakeTimeout = 2 * time.Second
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4096
)

// Identity is what one end of a connection says of itself.
type Identity struct {
	Host        string `msgpack:"h"`
	Incarnation uint64 `msgpack:"i"` // chosen at random when the process started
}

type hello struct {
	Version  int      `msgpack:"v"`
	Nonce    []byte   `msgpack:"n"`
	Identity Identity `msgpack:"i"`
	Proof    []byte   `msgpack:"p,omitempty"`
}

// Options are the settings of both ends of a connection.
type Options struct {
	Self            Identity
	Secret          []byte
	MaxPayloadBytes int // bytes of payload of one frame
}

// Client performs the client's side of the handshake on conn, and closes conn
// when it fails.
func Client(conn net.Conn, options Options) (*Conn, error) {
	framed, err := clientHandshake(conn, options)
	return finish(conn, framed, err)
}

// Server performs the server's side of the handshake on conn, and closes conn
// when it fails.
func Server(conn net.Conn, options Options) (*Conn, error) {
	framed, err := serverHandshake(conn, options)
	return finish(conn, framed, err)
}

func finish(conn net.Conn, framed *Conn, err error) (*Conn, error) {
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = conn.Close()
		return nil, flow.Wrap("handshake", conn.RemoteAddr().String(), err)
	}
	return framed, nil
}

// -----------------------------------------------------------------------------

func clientHandshake(conn net.Conn, options Options) (*Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, readBufferSize)
	mine, err := newHello(options.Self)
	if err != nil {
		return nil, err
	}
	if err := sendHello(conn, mine); err != nil {
		return nil, err
	}
	theirs, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	keys := keySource{secret: options.Secret, client: mine, server: theirs}
	if !hmac.Equal(theirs.Proof, keys.derive("server proof")) {
		return nil, Error.New("the server does not know the shared secret")
	}
	if _, err := conn.Write(appendPayload(nil, keys.derive("client proof"))); err != nil {
		return nil, err
	}
	return &Conn{
		peer:     theirs.Identity,
		conn:     conn,
		reader:   reader,
		limit:    options.MaxPayloadBytes,
		readTag:  newTagger(keys.derive("server to client")),
		writeTag: newTagger(keys.derive("client to server")),
	}, nil
}

func serverHandshake(conn net.Conn, options Options) (*Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, readBufferSize)
	theirs, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	mine, err := newHello(options.Self)
	if err != nil {
		return nil, err
	}
	keys := keySource{secret: options.Secret, client: theirs, server: mine}
	mine.Proof = keys.derive("server proof")
	if err := sendHello(conn, mine); err != nil {
		return nil, err
	}
	proof, err := readPayload(reader, handshakeLimit)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof, keys.derive("client proof")) {
		return nil, Error.New("the client does not know the shared secret")
	}
	return &Conn{
		peer:     theirs.Identity,
		conn:     conn,
		reader:   reader,
		limit:    options.MaxPayloadBytes,
		readTag:  newTagger(keys.derive("client to server")),
		writeTag: newTagger(keys.derive("server to client")),
	}, nil
}

// -----------------------------------------------------------------------------

func newHello(self Identity) (hello, error) {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return hello{}, err
	}
	return hello{Version: protocolVersion, Nonce: nonce, Identity: self}, nil
}

func sendHello(conn net.Conn, h hello) error {
	payload, err := msgpack.Marshal(h)
	if err != nil {
		return err
	}
	_, err = conn.Write(appendPayload(nil, payload))
	return err
}

func readHello(reader *bufio.Reader) (hello, error) {
	payload, err := readPayload(reader, handshakeLimit)
	if err != nil {
		return hello{}, err
	}
	var h hello
	if err := msgpack.Unmarshal(payload, &h); err != nil {
		return hello{}, Error.New("malformed hello: %v", err)
	}
	if h.Version != protocolVersion {
		return hello{}, Error.New("protocol version %d is not known; known: %d", h.Version, protocolVersion)
	}
	if len(h.Nonce) != nonceSize {
		return hello{}, Error.New("a nonce has %d bytes, not %d", len(h.Nonce), nonceSize)
	}
	return h, nil
}

// -----------------------------------------------------------------------------

// keySource derives the proofs and keys of one connection.
type keySource struct {
	secret         []byte
	client, server hello
}

// derive returns the HMAC, keyed with the secret, of the purpose and of what
// both ends said.
func (k keySource) derive(purpose string) []byte {
	mac := hmac.New(sha256.New, k.secret)
	writeField(mac, []byte(purpose))
	for _, h := range []hello{k.client, k.server} {
		writeField(mac, h.Nonce)
		writeField(mac, []byte(h.Identity.Host))
		writeField(mac, binary.BigEndian.AppendUint64(nil, h.Identity.Incarnation))
	}
	return mac.Sum(nil)
}

// writeField writes a field with its length, so that no two lists of fields
// give the same bytes.
func writeField(w io.Writer, field []byte) {
	_, _ = w.Write(appendPayload(nil, field))
}
