package executor_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// startRepeatingServer starts a backend server that refuses the first request of its first
// connection, writes that refusal once more when the second request has come, and runs all
// others. It counts the connections, and records the ids of the requests that it ran.
func startRepeatingServer(t *testing.T, refusal string) (address string, connections *atomic.Int64, ran *sync.Map) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	connections, ran = &atomic.Int64{}, &sync.Map{}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			first := connections.Add(1) == 1
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				repeated := ""
				for number := 1; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := request.Header.Get(headerNames.RequestID)
					if first && number == 1 {
						repeated = strings.ReplaceAll(refusal, "%s", id)
						fmt.Fprint(conn, repeated)
						continue
					}
					ran.Store(id, true)
					if first && number == 2 {
						fmt.Fprint(conn, repeated)
					}
					fmt.Fprint(conn, strings.ReplaceAll(goodResponse, "%s", id))
				}
			}()
		}
	}()
	return socket.Addr().String(), connections, ran
}

// TestRepeatedRefusalIsNotTakenForAnother has a server write the refusal of one request
// again on the kept connection, where the response to the next request is due. That request
// runs, so that its caller must not be told that it has not. A refusal without an id was
// taken for it, and after one with another id the connection was used on, each request
// getting the response to the one before.
func TestRepeatedRefusalIsNotTakenForAnother(t *testing.T) {
	cases := map[string]string{
		"with the id of the first request":           "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"without an id":                              "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"429 without an id, with a body":             "HTTP/1.1 429 Full\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"400 without an id":                          "HTTP/1.1 400 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"in chunks, without an id":                   "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"with the ids of the first and the second":   "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nRequest-Id: id-2\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"with the ids of the second and the first":   "HTTP/1.1 503 Full\r\nRequest-Id: id-2\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"an empty id instead of that of the request": "HTTP/1.1 503 Full\r\nRequest-Id: \r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, connections, ran := startRepeatingServer(t, refusal)
			f := newFixture(t, address, 2)
			results := map[string]*flow.Refusal{}
			for i := range 4 {
				offer := newOffer()
				offer.ID = fmt.Sprint("id-", i+1)
				offer.Repeatable, offer.Forced = true, true // also once the server is suspected of failing
				_, results[offer.ID] = f.run(t.Context(), offer, "/x/")
			}
			is.True(results["id-1"] != nil)
			for id, result := range results {
				if _, hasRun := ran.Load(id); hasRun && result != nil && result.NotRun() {
					t.Errorf("%s ran and counts as not run: %s %s", id, result.Reason, result.Detail)
				}
			}
			_, hasRun := ran.Load("id-2")
			is.True(hasRun)
			is.True(results["id-3"] == nil) // on a new connection
			is.True(results["id-4"] == nil)
			is.True(connections.Load() >= 2)
		})
	}
}
