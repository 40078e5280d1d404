// Package platform reads the platform's configuration service. It only ever
// reads; each call is counted, because the service's rate is shared by all.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/platformapi"
)

const (
	// maxUpdateBytes bounds one answer: two values of 1 MB, in base64.
	maxUpdateBytes = 4 << 20
	// grace is allowed on top of a watch's own wait.
	grace = 2 * time.Second
)

// Client reads the platform.
type Client struct {
	base   string
	http   *http.Client
	onCall func()
}

// New makes a client; onCall is told of each call.
func New(base string, onCall func()) *Client {
	return &Client{base: base, http: &http.Client{}, onCall: onCall}
}

func (c *Client) watchURL(seen map[string]uint64, wait time.Duration) string {
	q := url.Values{platformapi.ParamWait: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	for _, name := range platformapi.Names() {
		q.Set(name, strconv.FormatUint(seen[name], 10))
	}
	return c.base + platformapi.PathWatch + "?" + q.Encode()
}

// Watch returns the values newer than those seen, waiting for one at most so
// long. With no wait it is a plain read.
func (c *Client) Watch(ctx context.Context, seen map[string]uint64, wait time.Duration) ([]platformapi.Value, error) {
	c.onCall()
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.watchURL(seen, wait), nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform: status %d", resp.StatusCode)
	}
	var u platformapi.Update
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxUpdateBytes)).Decode(&u); err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	return u.Values, nil
}
