package engineclient

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/engineapi"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Said is what the head of an answer says of its endpoint, apart from the request.
type Said struct {
	// Incarnation of the endpoint; zero if it didn't tell.
	Incarnation uint64
	// Draining says that it takes no new work.
	Draining bool
	// Pause is for how long it wants no new work from who gets the answer; zero if it doesn't
	// say.
	Pause time.Duration
}

// maxPause bounds what an endpoint may ask for.
const maxPause = time.Hour

// tell tells what an answer says of its endpoint, if it says something.
func (c *Client) tell(from fleet.Endpoint, resp *http.Response) {
	s := Said{
		Incarnation: incarnation(resp),
		Draining:    resp.Header.Get(engineapi.HeaderDraining) != "",
		Pause:       pauseOf(resp),
	}
	if c.said != nil && (s.Draining || s.Pause > 0) {
		c.said(from, s)
	}
}

// pauseOf reads the seconds of Retry-After of a refusal; what isn't a whole number says
// nothing.
func pauseOf(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxPause)
}
