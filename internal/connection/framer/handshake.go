// The client sends its identity and a nonce. The server answers with its identity, a
// nonce and a proof. The client sends its proof. A proof is an HMAC of the role and both
// ends' nonces and identities, keyed with the shared secret.

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

	"github.com/coltsfootflow/coltsfootflow/internal/connection/decoder"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// protocolVersion is the version of the frames and their messages.
	protocolVersion = 1
	// nonceSize is the size of a nonce in bytes.
	nonceSize = 16
	// maxHandshakeBytes limits each payload of the handshake.
	maxHandshakeBytes = 512
	// handshakeTimeout bounds the whole handshake.
	handshakeTimeout = 2 * time.Second
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4096
)

// Identity identifies the process at one end of a connection.
type Identity struct {
	Host        string `msgpack:"h"`
	Incarnation uint64 `msgpack:"i"` // random number, chosen when the process starts
}

// hello is the first payload that each end sends.
type hello struct {
	Version  int      `msgpack:"v"`
	Nonce    []byte   `msgpack:"n"`
	Identity Identity `msgpack:"i"`
	Proof    []byte   `msgpack:"p,omitempty"`
}

// Options are the settings of one end of a connection.
type Options struct {
	Self            Identity
	Secret          []byte // shared by all daemons of a deployment
	MaxPayloadBytes int    // of one frame, in both directions
}

// Client performs the client's side of the handshake on conn. If the handshake fails, it
// closes conn.
func Client(conn net.Conn, options Options) (*Conn, error) {
	framed, err := clientHandshake(conn, options)
	return finish(conn, framed, err)
}

// Server performs the server's side of the handshake on conn. If the handshake fails, it
// closes conn.
func Server(conn net.Conn, options Options) (*Conn, error) {
	framed, err := serverHandshake(conn, options)
	return finish(conn, framed, err)
}

// finish clears the deadline of the handshake, or closes conn if the handshake failed.
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

func clientHandshake(conn net.Conn, options Options) (*Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, readBufferSize)
	own, err := newHello(options.Self)
	if err != nil {
		return nil, err
	}
	if err := sendHello(conn, own); err != nil {
		return nil, err
	}
	peer, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	keys := keyDeriver{secret: options.Secret, client: own, server: peer}
	if !hmac.Equal(peer.Proof, keys.derive("server proof")) {
		return nil, Error.New("the server does not know the shared secret")
	}
	if _, err := conn.Write(appendPayload(nil, keys.derive("client proof"))); err != nil {
		return nil, err
	}
	return &Conn{
		peer:            peer.Identity,
		conn:            conn,
		reader:          reader,
		maxPayloadBytes: options.MaxPayloadBytes,
		readTagger:      newTagger(keys.derive("server to client")),
		writeTagger:     newTagger(keys.derive("client to server")),
	}, nil
}

func serverHandshake(conn net.Conn, options Options) (*Conn, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, readBufferSize)
	peer, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	own, err := newHello(options.Self)
	if err != nil {
		return nil, err
	}
	keys := keyDeriver{secret: options.Secret, client: peer, server: own}
	own.Proof = keys.derive("server proof")
	if err := sendHello(conn, own); err != nil {
		return nil, err
	}
	proof, err := readPayload(reader, maxHandshakeBytes)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof, keys.derive("client proof")) {
		return nil, Error.New("the client does not know the shared secret")
	}
	return &Conn{
		peer:            peer.Identity,
		conn:            conn,
		reader:          reader,
		maxPayloadBytes: options.MaxPayloadBytes,
		readTagger:      newTagger(keys.derive("client to server")),
		writeTagger:     newTagger(keys.derive("server to client")),
	}, nil
}

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
	payload, err := readPayload(reader, maxHandshakeBytes)
	if err != nil {
		return hello{}, err
	}
	var h hello
	if err := decoder.Unmarshal(payload, &h); err != nil {
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

// keyDeriver derives the proofs and keys of one connection.
type keyDeriver struct {
	secret         []byte
	client, server hello
}

// derive returns the HMAC, keyed with the shared secret, of the purpose and both hellos.
func (d keyDeriver) derive(purpose string) []byte {
	mac := hmac.New(sha256.New, d.secret)
	writeField(mac, []byte(purpose))
	for _, h := range []hello{d.client, d.server} {
		writeField(mac, h.Nonce)
		writeField(mac, []byte(h.Identity.Host))
		writeField(mac, binary.BigEndian.AppendUint64(nil, h.Identity.Incarnation))
	}
	return mac.Sum(nil)
}

// writeField writes a field with its length in front, so that different lists of fields
// never result in the same bytes.
func writeField(w io.Writer, field []byte) {
	_, _ = w.Write(appendPayload(nil, field))
}
