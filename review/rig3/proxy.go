//go:build review

package rig3

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/vmihailenco/msgpack/v5"
)

// maxHello is the largest first payload that a daemon sends on a connection.
const maxHello = 512

// Partition makes the hosts of different sides unable to reach each other, silently: what
// they send is held, and new connections get no answer. The store is a host named StoreName.
func (r *Rig) Partition(side func(host string) int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.side, r.ended = side, make(chan struct{})
}

// Heal ends the partition. Connections that it held are closed.
func (r *Rig) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.side != nil {
		r.side = nil
		close(r.ended)
	}
}

// apart returns a channel that is closed when two hosts can reach each other again, or nil
// if they can.
func (r *Rig) apart(a, b string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.side == nil || r.side(a) == r.side(b) {
		return nil
	}
	return r.ended
}

// proxyPeers forwards connections of other daemons to a port of a host's sidecar.
func (r *Rig) proxyPeers(h *Host, port int) error {
	listener, err := net.Listen("tcp", r.address(h.PublicIP, port))
	if err != nil {
		return err
	}
	go r.accept(listener, func(conn net.Conn) {
		first, dialer, err := readHello(conn)
		if err != nil {
			_ = conn.Close()
			return
		}
		r.forward(conn, first, r.address(h.PrivateIP, port), dialer, h.PublicIP)
	})
	return nil
}

// proxyStore forwards the connections of a host's sidecar to the store.
func (r *Rig) proxyStore(h *Host, store string) error {
	listener, err := net.Listen("tcp", r.address(h.PrivateIP, portStore))
	if err != nil {
		return err
	}
	go r.accept(listener, func(conn net.Conn) { r.forward(conn, nil, store, h.PublicIP, StoreName) })
	return nil
}

func (r *Rig) accept(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// readHello reads the first payload of a connection between daemons, which names the host of
// the daemon that opened it.
func readHello(conn net.Conn) (first []byte, host string, err error) {
	var length [4]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return nil, "", err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHello {
		return nil, "", io.ErrUnexpectedEOF
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(conn, payload); err != nil {
		return nil, "", err
	}
	var hello struct {
		Identity struct {
			Host string `msgpack:"h"`
		} `msgpack:"i"`
	}
	if err := msgpack.Unmarshal(payload, &hello); err != nil {
		return nil, "", err
	}
	return append(length[:], payload...), hello.Identity.Host, nil
}

// forward forwards a connection from one host to another.
func (r *Rig) forward(conn net.Conn, first []byte, target, from, to string) {
	defer func() { _ = conn.Close() }()
	if over := r.apart(from, to); over != nil {
		<-over
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	defer func() { _ = out.Close() }()
	if _, err := out.Write(first); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			r.copy(way[1], way[0], from, to)
			done <- struct{}{}
		}()
	}
	<-done
	if over := r.apart(from, to); over != nil {
		<-over
	}
}

// copy copies from one connection to another until one ends. During a partition it holds what
// has arrived, and then ends.
func (r *Rig) copy(to, from net.Conn, a, b string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if over := r.apart(a, b); over != nil {
			<-over
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
