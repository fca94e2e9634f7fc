//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// manualSize is the size of a large answer in bytes.
	manualSize = 2 << 20
	// manualTime is the time budget of a download at a grown deployment.
	manualTime = 20 * time.Second
	// downloads is the number of downloads of a case, downloadInterval the time between
	// two of them. They take 5 s together.
	downloads        = 120
	downloadInterval = 41 * time.Millisecond
	// unframedEvery is one in how many answers of the faulty server has no length: the largest
	// share that the site file names is 0.05.
	unframedEvery = 20
	// brokenAt is where the faulty server breaks an answer off, in bytes.
	brokenAt = manualSize / 4 * 3
)

// manual returns the bytes of a large answer.
func manual() []byte { return bytes.Repeat([]byte("0123456789abcde\n"), manualSize/16) }

// startManuals starts a host for the clients, and two with the servers of the large
// answers. The first of these gives every unframedEvery-th answer by the function unframed.
func startManuals(f *fleet, whole []byte, unframed func(*server, *exchange)) (clients *host, err error) {
	for _, service := range []string{"counter", "catalogue", "catalogue"} {
		if _, err := f.addHost("tbs-a", service); err != nil {
			return nil, err
		}
	}
	faulty := f.hosts[1].server
	var answers atomic.Int64
	faulty.handle = func(ex *exchange) bool {
		faulty.run(ex)
		if answers.Add(1)%unframedEvery == 0 {
			unframed(faulty, ex)
			return false
		}
		faulty.answer(ex, string(whole))
		return true
	}
	sound := f.hosts[2].server
	sound.handle = func(ex *exchange) bool {
		sound.run(ex)
		sound.answer(ex, string(whole))
		return true
	}
	return f.hosts[0], f.start(configuration("pulo780", 0, map[string]any{
		"stock":  route("/stock/", "safe", "counter"),
		"manual": route("/manual/", "download", "catalogue"),
	}, "counter", "catalogue"))
}

// download is what came for a download.
type download struct {
	id     string
	answer answer
}

// each makes all downloads, each on a connection of its own, by a function.
func (f *fleet) each(fetch func(id string) answer) []download {
	var mu sync.Mutex
	var calls sync.WaitGroup
	var all []download
	for range downloads {
		id := newID()
		calls.Go(func() {
			a := fetch(id)
			f.record.logf("client got for %s: status %d, length in the head %d, body of %d bytes, error %v", id, a.status, a.length, len(a.body), a.err)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, download{id, a})
		})
		time.Sleep(downloadInterval)
	}
	calls.Wait()
	return all
}

// judgeDownloads counts the successes with another body than the server's.
func (f *fleet) judgeDownloads(all []download, whole []byte) (broken bool, err error) {
	good, incomplete, failed, wrong := 0, 0, 0, 0
	for _, d := range all {
		a := d.answer
		switch {
		case a.status != 200 || a.seal == "":
			failed++
		case bytes.Equal(a.body, whole):
			good++
		case a.err != nil && len(a.body) < len(whole):
			incomplete++ // the client sees that the end is missing
		default:
			wrong++
			more := a.body[min(len(whole), len(a.body)):]
			f.record.logf("%s: a success whose body has %d bytes, the server's has %d; behind the server's bytes: %q", d.id, len(a.body), len(whole), more)
		}
	}
	f.record.logf("%d downloads: %d whole, %d seen to be incomplete, %d failed, %d successes with a wrong body", len(all), good, incomplete, failed, wrong)
	if good == 0 {
		return false, fmt.Errorf("no download was whole")
	}
	return wrong > 0, nil
}

// sendUnframed sends the head of an answer without a length.
func sendUnframed(s *server, ex *exchange) {
	_, _ = fmt.Fprintf(ex.conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n", s.head(ex))
}

// answerTruncated lets one in twenty answers of a server break off: it resets its connection
// in the middle of a body that has no length. The client must not get a success that looks
// complete.
func answerTruncated(f *fleet, trouble bool) (bool, error) {
	whole := manual()
	clients, err := startManuals(f, whole, func(s *server, ex *exchange) {
		sendUnframed(s, ex)
		_, _ = ex.conn.Write(whole[:brokenAt])
		time.Sleep(500 * time.Millisecond)
		if tcp, ok := ex.conn.(*net.TCPConn); ok && trouble {
			f.record.logf("server %s resets the connection after three quarters of the answer to %s", s.id, ex.id)
			_ = tcp.SetLinger(0) // closing sends a reset
			return
		}
		_, _ = ex.conn.Write(whole[brokenAt:])
		f.record.logf("server %s has sent the whole answer to %s and closes the connection", s.id, ex.id)
	})
	if err != nil {
		return false, err
	}
	all := f.each(func(id string) answer { return f.call(clients, "GET", "/manual/1", id, manualTime, "") })
	return f.judgeDownloads(all, whole)
}

// answerAppended sends a second repeatable request behind each download, on the same
// connection. One in twenty answers of a server has no length and ends with its
// connection. The client must get the server's bytes as its body, and nothing else.
func answerAppended(f *fleet, trouble bool) (bool, error) {
	whole := manual()
	clients, err := startManuals(f, whole, func(s *server, ex *exchange) {
		if !trouble {
			s.answer(ex, string(whole))
			return
		}
		sendUnframed(s, ex)
		_, _ = ex.conn.Write(whole)
		f.record.logf("server %s has sent the whole answer to %s, without a length, and closes the connection", s.id, ex.id)
	})
	if err != nil {
		return false, err
	}
	all := f.each(func(id string) answer {
		conn, err := f.dial(clients, manualTime)
		if err != nil {
			return answer{err: err}
		}
		defer func() { _ = conn.Close() }()
		second := newID()
		f.record.logf("client sends %s GET /manual/1 and %s GET /stock/2 on one connection", id, second)
		if _, err := io.WriteString(conn, head("GET", "/manual/1", id, manualTime, "")+head("GET", "/stock/2", second, manualTime, "")); err != nil {
			return answer{err: err}
		}
		reader := bufio.NewReader(conn)
		a := readAnswer(reader, "GET")
		if a.length >= 0 && a.err == nil {
			b := readAnswer(reader, "GET")
			f.record.logf("client got for %s: status %d, body %q, error %v", second, b.status, b.body, b.err)
		}
		return a
	})
	return f.judgeDownloads(all, whole)
}
