package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The crowd and its bounds. They were settled on the code without a memory budget, whose
// daemons exceed crowdMemory in all cases but one.
const (
	crowdMemory  = 96 << 20 // of each daemon
	crowdLimit   = 8 << 20  // of a body
	crowdSize    = 64
	crowdTime    = 8 * time.Second
	maxOpenFiles = 1024 // the usual soft limit of a process
)

// A crowd of callers takes no more memory and descriptors of a daemon than it has, ends no
// daemon, and an ordinary request is answered after it. Without a bound on the bodies of all
// connections a daemon held each of them, and was ended by its host.
func TestCrowdLeavesDaemonsRunning(t *testing.T) {
	piece := strings.Repeat("0123456789abcdef", 64<<10/16)
	announced := func(path string, length int) func(*deployment) string {
		return func(dep *deployment) string {
			return dep.head(http.MethodPost, path, "Content-Length: "+strconv.Itoa(length)+"\r\n")
		}
	}
	chunked := func(dep *deployment) string {
		return dep.head(http.MethodPost, "/x", "Transfer-Encoding: chunked\r\n")
	}
	cases := map[string]struct {
		head func(*deployment) string
		body func() io.Reader // what the caller sends, without the end
	}{
		"large bodies at once": {announced("/x", crowdLimit), func() io.Reader {
			return io.LimitReader(&repeated{text: piece}, crowdLimit-1)
		}},
		"large bodies piece by piece": {announced("/x", crowdLimit), func() io.Reader {
			return &paced{io.LimitReader(&repeated{text: piece}, crowdLimit-1)}
		}},
		"large chunks": {chunked, func() io.Reader {
			return io.LimitReader(&repeated{text: fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)}, crowdLimit-1)
		}},
		"small chunks": {chunked, func() io.Reader {
			return io.LimitReader(&repeated{text: strings.Repeat("10\r\n0123456789abcdef\r\n", 1000)}, crowdLimit-1)
		}},
		"announced over the limit": {announced("/x", 100*crowdLimit), func() io.Reader {
			return io.LimitReader(&repeated{text: piece}, 100*crowdLimit)
		}},
		"sent over the limit": {chunked, func() io.Reader {
			return io.LimitReader(&repeated{text: fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)}, 100*crowdLimit)
		}},
		"a server that reads slowly": {announced("/slow/x", crowdLimit), func() io.Reader {
			return io.LimitReader(&repeated{text: piece}, crowdLimit)
		}},
		"responses that are not read": {func(dep *deployment) string {
			var requests strings.Builder
			for range 32 {
				requests.WriteString(dep.head(http.MethodGet, "/large/x", ""))
			}
			return requests.String()
		}, func() io.Reader { return strings.NewReader("") }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dep := startDeployment(t, "96MiB", crowdLimit)
			stop := dep.watch()
			end := time.Now().Add(crowdTime)
			var crowd sync.WaitGroup
			for range crowdSize {
				crowd.Go(func() {
					conn, err := dep.dial()
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					_ = conn.SetDeadline(end)
					go func() { _, _ = io.Copy(conn, io.MultiReader(strings.NewReader(tc.head(dep)), tc.body())) }()
					time.Sleep(time.Until(end)) // without reading
				})
			}
			crowd.Wait()
			memory, descriptors := stop()
			t.Logf("at most %d MiB and %d descriptors", memory>>20, descriptors)
			dep.checkBounds(t, memory, crowdMemory, descriptors)
			// The refusals of the crowd may still be on their way.
			for attempt := 1; ; attempt++ {
				status, body, err := dep.call(dep.head(http.MethodPost, "/x", "Content-Length: 5\r\n"), strings.NewReader("small"))
				if err == nil && status == http.StatusOK {
					is.Equal(body, "5")
					break
				}
				if attempt == 10 {
					t.Fatalf("an ordinary request is not answered: %d %s %v", status, body, err)
				}
				time.Sleep(time.Second)
			}
		})
	}
}

// A single body at the limit that customers have by default is served by the smallest hosts.
// Copies of the body on its way would exceed their memory.
func TestLargestBodyIsServedBySmallestHost(t *testing.T) {
	const (
		memory = 184 << 20
		length = 64 << 20
	)
	piece := strings.Repeat("0123456789abcdef", 64<<10/16)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	cases := map[string]struct {
		line string
		body func() io.Reader
	}{
		"announced": {"Content-Length: " + strconv.Itoa(length) + "\r\n", func() io.Reader {
			return io.LimitReader(&repeated{text: piece}, length)
		}},
		"in chunks": {"Transfer-Encoding: chunked\r\n", func() io.Reader {
			return io.MultiReader(io.LimitReader(&repeated{text: chunk}, int64(length/len(piece)*len(chunk))), strings.NewReader("0\r\n\r\n"))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dep := startDeployment(t, "184MiB", length)
			stop := dep.watch()
			for range 3 { // the memory of the one before is reused in time
				status, body, err := dep.call(dep.head(http.MethodPost, "/x", tc.line), tc.body())
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
				is.Equal(body, strconv.Itoa(length))
			}
			largest, descriptors := stop()
			t.Logf("at most %d MiB and %d descriptors", largest>>20, descriptors)
			dep.checkBounds(t, largest, memory, descriptors)
		})
	}
}

// checkBounds checks that no daemon has ended, and the bounds of their memory and
// descriptors.
func (dep *deployment) checkBounds(t *testing.T, memory, maxMemory, descriptors int) {
	t.Helper()
	for i, ended := range dep.ended {
		select {
		case <-ended:
			t.Fatalf("the daemon of host %d has ended", i)
		default:
		}
	}
	if memory >= maxMemory {
		t.Errorf("a daemon used %d MiB of %d", memory>>20, maxMemory>>20)
	}
	if descriptors >= maxOpenFiles {
		t.Errorf("a daemon had %d open descriptors, bound %d", descriptors, maxOpenFiles)
	}
}

// repeated repeats a text without end.
type repeated struct {
	text string
	at   int
}

// Read implements io.Reader.
func (r *repeated) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

// paced hands out pieces with pauses between them.
type paced struct{ from io.Reader }

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return p.from.Read(b[:min(len(b), 64<<10)])
}
