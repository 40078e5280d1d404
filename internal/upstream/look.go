package upstream

import (
	"context"
	"errors"
	"syscall"

	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// Presence is what a look at an endpoint's address shows.
type Presence int

// The presences.
const (
	// Unknown: nothing answered. The endpoint may be cut off, without power, or busy.
	Unknown Presence = iota
	// Listening: a process has the address. It may be the endpoint's next life.
	Listening
	// Ended: the address refuses connections, so that the process which had it has ended.
	Ended
)

// Look tells whether an endpoint's process is there. A kept connection that is open and
// silent shows it for nothing; else one is opened, and kept if it comes up.
func (p *Pool) Look(ctx context.Context, e fleet.Endpoint) Presence {
	if c := p.take(e.Instance(), func(*conn) bool { return true }); c != nil {
		p.put(e.Instance(), c)
		return Listening
	}
	c, presence := p.Dial.probe(ctx, e.Address)
	if c != nil {
		p.dialed()
		p.put(e.Instance(), c)
	}
	return presence
}

// Connect opens a new connection to an endpoint, keeps it for requests, and reports whether it
// came up.
func (p *Pool) Connect(ctx context.Context, e fleet.Endpoint) bool {
	c, _ := p.Dial.probe(ctx, e.Address)
	if c == nil {
		return false
	}
	p.dialed()
	p.put(e.Instance(), c)
	return true
}

// LookAt is Look without a pool: it opens a connection and closes it.
func LookAt(ctx context.Context, e fleet.Endpoint) Presence {
	c, presence := Dialer(dialEndpoint).probe(ctx, e.Address)
	if c != nil {
		// Nothing was sent on it that could be lost.
		_ = c.Close()
	}
	return presence
}

// probe opens a connection; it is nil unless something listens.
func (dial Dialer) probe(ctx context.Context, address string) (*conn, Presence) {
	c, err := dial.open(ctx, address)
	switch {
	case err == nil:
		return c, Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Ended
	default:
		return nil, Unknown
	}
}
