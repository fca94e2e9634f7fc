//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a backend server began to work on.
type run struct {
	id     string // of the request
	server string
	at     time.Time
	target string
}

// runLog holds all runs.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// exchange is a request at a backend server.
type exchange struct {
	conn    net.Conn
	request *http.Request
	body    []byte
	id      string
	number  int // of the request on its connection, from 1 on
}

// server is a backend server. It answers each request with a short text, unless
// handle is set and answers in another way.
type server struct {
	fleet  *fleet
	id     string
	host   *host
	born   int64         // Unix time of its start in milliseconds
	work   time.Duration // time that a request takes
	handle func(*exchange) (keep bool)

	mu       sync.Mutex
	ended    bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// end ends the server with the requests that it is at work on.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.fleet.record.logf("server %s ends", s.id)
}

// track adds or removes a connection, and reports whether the server goes on.
func (s *server) track(conn net.Conn, open bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = true
	} else {
		delete(s.conns, conn)
	}
	return !s.ended
}

func (s *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer s.track(conn, false)
	if !s.track(conn, true) {
		return
	}
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Coltsfootflow-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if expected := request.Header.Get("X-Coltsfootflow-Expect-Instance"); expected != "" && expected != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Coltsfootflow-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		ex := &exchange{conn: conn, request: request, body: body, id: request.Header.Get("X-Coltsfootflow-Attempt-Id"), number: number}
		if s.handle != nil {
			if !s.handle(ex) {
				return
			}
			continue
		}
		s.run(ex)
		time.Sleep(s.work)
		s.answer(ex, "done "+ex.id+"\n")
	}
}

// run records that the server begins to work on a request.
func (s *server) run(ex *exchange) {
	s.fleet.runs.add(run{id: ex.id, server: s.id, at: time.Now(), target: ex.request.RequestURI})
	s.fleet.record.logf("server %s runs %s: %s %s", s.id, ex.id, ex.request.Method, ex.request.RequestURI)
}

// answer sends a whole answer.
func (s *server) answer(ex *exchange, body string) {
	_, _ = fmt.Fprintf(ex.conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", s.head(ex), len(body), body)
}

// head returns the headers that each answer has.
func (s *server) head(ex *exchange) string {
	return fmt.Sprintf("X-Coltsfootflow-Attempt-Id: %s\r\nX-Coltsfootflow-Server-Seal: seal.%s.%s\r\n", ex.id, s.id, ex.id)
}
