// Client of the platform's HTTP API for reading and watching records.

package reader

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// WatchTimeout is the longest time that the platform holds a watch without
	// changes.
	WatchTimeout = 30 * time.Second
	// readTimeout bounds a read, and the time that a watch may take beyond its wait.
	readTimeout = 3 * time.Second
	// pageLimit is the requested size of a page in bytes.
	pageLimit = 1 << 20
	// bodyLimit bounds the body of an answer in bytes.
	bodyLimit = 8 << 20
)

// Error is the class of errors of calls to the platform.
var Error = errs.Class("platform")

// Page is an answer of the platform: records that changed after a revision, in the
// order of their revisions.
type Page struct {
	Revision flow.Revision    `json:"revision"` // the page is complete up to it, unless More is set
	Records  []flow.RawRecord `json:"records"`
	More     bool             `json:"more"` // whether further pages follow
}

// Last returns the revision after which the next page starts.
func (p Page) Last() flow.Revision {
	if !p.More || len(p.Records) == 0 {
		return p.Revision
	}
	return p.Records[len(p.Records)-1].Revision
}

// Client calls the platform. It tries its addresses in order until one answers.
type Client struct {
	URLs []string
	HTTP *http.Client
}

// NewClient returns a Client for the given base URLs.
func NewClient(urls []string) *Client {
	return &Client{
		URLs: urls,
		HTTP: &http.Client{
			Transport: &validator.Transport{Base: &http.Transport{
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     time.Minute,
			}},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Read returns the first page of the records that changed after a revision. Errors
// carry the step "read-records" and the base URL as the peer.
func (c *Client) Read(ctx context.Context, after flow.Revision) (Page, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("limit-bytes", strconv.Itoa(pageLimit))
	return c.get(ctx, "read-records", "/v1/records?"+query.Encode(), readTimeout)
}

// Watch waits for records that change after a revision, and returns them. If there
// are none within wait, it returns a page without records. Errors carry the step
// "watch-records" and the base URL as the peer.
func (c *Client) Watch(ctx context.Context, after flow.Revision, wait time.Duration) (Page, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("timeout", wait.String())
	return c.get(ctx, "watch-records", "/v1/watch?"+query.Encode(), wait+readTimeout)
}

// get tries the addresses in order.
func (c *Client) get(ctx context.Context, step flow.Step, path string, timeout time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := error(Error.New("no address is set"))
	for _, base := range c.URLs {
		var page Page
		page, err = c.getFrom(ctx, strings.TrimSuffix(base, "/")+path)
		if err == nil {
			return page, nil
		}
		err = flow.Wrap(step, base, Error.Wrap(err))
	}
	return Page{}, err
}

func (c *Client) getFrom(ctx context.Context, address string) (Page, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Page{}, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Page{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("status %d", response.StatusCode)
	}
	var page Page
	if err := validator.DecodeJSON(io.LimitReader(response.Body, bodyLimit), &page); err != nil {
		return Page{}, fmt.Errorf("malformed page: %w", err)
	}
	return page, nil
}
