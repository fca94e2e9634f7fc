//go:build review

package fleet

import (
	"bufio"
	"io"
	"net"
	"regexp"
	"sync"
	"time"
)

// links are the ways between hosts, and from each host to the store. They lead through proxies
// so that a script can cut them. A cut way is silent: what is sent on it arrives nowhere.
type links struct {
	mu  sync.Mutex
	cut map[[2]string]bool // by the addresses of two hosts, or of a host and ""
}

// hostName matches the address of a host that a daemon names itself by when it connects.
var hostName = regexp.MustCompile(`127\.[0-9]+\.2\.[0-9]+`)

// storeEnd stands for the store as the end of a way.
const storeEnd = ""

func (l *links) isCut(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]string{a, b}] || l.cut[[2]string{b, a}]
}

// Cut cuts or restores the ways between two groups of hosts, and between the first group and
// the store.
func (d *Deployment) Cut(group, others []*Host, cut bool) {
	d.links.mu.Lock()
	defer d.links.mu.Unlock()
	for _, h := range group {
		d.links.cut[[2]string{h.IP, storeEnd}] = cut
		for _, other := range others {
			d.links.cut[[2]string{h.IP, other.IP}] = cut
		}
	}
}

// forward forwards the connections of a listener at a host to a target. The store is the
// other end if it is one to the store, and else the host that connects.
func (l *links) forward(listener net.Listener, at, target string, toStore bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forwardOne(conn, at, target, toStore)
	}
}

func (l *links) forwardOne(conn net.Conn, at, target string, toStore bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	other := storeEnd
	if !toStore {
		var hello []byte
		for n := 1; other == storeEnd && n <= 512; n++ {
			var err error
			if hello, err = reader.Peek(n); err != nil {
				return
			}
			hello, _ = reader.Peek(reader.Buffered())
			other = string(hostName.Find(hello))
		}
	}
	for l.isCut(at, other) {
		time.Sleep(10 * time.Millisecond)
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	ended := make(chan struct{}, 2)
	relay := func(to net.Conn, from io.Reader) {
		defer func() { ended <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			for waited := false; l.isCut(at, other); waited = true {
				time.Sleep(10 * time.Millisecond)
				if waited && !l.isCut(at, other) {
					return // what was held up is lost
				}
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
	go relay(server, reader)
	go relay(conn, server)
	<-ended
}
