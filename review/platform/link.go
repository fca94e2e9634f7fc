//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// links forwards the connections between the hosts' daemons, and can cut off a host:
// nothing that it sends or that is sent to it arrives until the cut ends.
type links struct {
	mu      sync.Mutex
	hosts   []string
	cutHost string        // "" if no host is cut off
	healed  chan struct{} // closed when the cut ends
}

func newLinks() *links { return &links{healed: make(chan struct{})} }

func (l *links) setCut(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host == "" {
		close(l.healed)
		l.healed = make(chan struct{})
	}
	l.cutHost = host
}

// await returns once bytes may pass between two hosts.
func (l *links) await(from, to string) {
	for {
		l.mu.Lock()
		healed, isCut := l.healed, from != to && l.cutHost != "" && (l.cutHost == from || l.cutHost == to)
		l.mu.Unlock()
		if !isCut {
			return
		}
		<-healed
	}
}

// forward forwards the connections that come to a listener of a host to its daemon.
func (l *links) forward(listener net.Listener, host, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.pipe(conn, host, target)
	}
}

// pipe forwards one connection. The daemon that opened it names its host in the first
// frame, without encryption.
func (l *links) pipe(conn net.Conn, host, target string) {
	defer func() { _ = conn.Close() }()
	hello := make([]byte, 4)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(conn, hello); err != nil {
		return
	}
	payload := make([]byte, min(binary.BigEndian.Uint32(hello), 4096))
	if _, err := io.ReadFull(conn, payload); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	from := ""
	l.mu.Lock()
	for _, name := range l.hosts {
		if bytes.Contains(payload, []byte(name)) {
			from = name
		}
	}
	l.mu.Unlock()
	l.await(from, host)
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if _, err := out.Write(append(hello, payload...)); err != nil {
		return
	}
	ended := make(chan struct{}, 2)
	copyBytes := func(to, source net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			l.await(from, host)
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go copyBytes(out, conn)
	go copyBytes(conn, out)
	<-ended
}
