// Package notices tells the entries of an engine's data centre at once of each prompt
// that is sent to the engine.
//
// Load reports are half a second old when they are read, and the exchange adds as
// much. A prompt is read within that time, so entries that go by reports all send to
// the engine that was idle a second ago. A notice is one small datagram to each entry
// of the data centre. Nothing depends on it: a lost one leaves the engine looking a
// little emptier, a forged one makes it look fuller for some seconds.
package notices

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

const (
	// maxPerSecond bounds the datagrams that one entry sends, whatever its load: at some
	// 60 bytes each on the link, 6 of the 15 KB/s that control may take (letter 1).
	maxPerSecond = 100
	// maxBytes bounds a datagram; a notice has about ten.
	maxBytes = 64
	// maxTokens bounds what one notice is believed.
	maxTokens = 1 << 17
)

// Config holds the settings of a Notifier.
type Config struct {
	// Listen is the IP and UDP port.
	Listen string
	// OnPrompt is told of each prompt that another entry has sent to an engine, named
	// by the hash of its id.
	OnPrompt func(endpointHash uint32, tokens int)
	// Now is the clock that the bound on the datagrams goes by.
	Now func() time.Time
	Log *log.Logger
}

// Notifier sends and receives notices. It is safe for concurrent use.
type Notifier struct {
	cfg  Config
	conn *net.UDPConn

	mu sync.Mutex
	// peers are the notice addresses of the other entries by data centre.
	peers map[string][]netip.AddrPort
	// everyone lists them all if all are told of everything.
	everyone []netip.AddrPort
	// second and sent count the datagrams of the running second.
	second int64
	sent   int
}

// New listens for notices.
func New(cfg Config) (*Notifier, error) {
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "notices")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "notices")
	}
	return &Notifier{cfg: cfg, conn: conn}, nil
}

// Address is where it listens.
func (n *Notifier) Address() netip.AddrPort {
	return n.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetPeers replaces the addresses of the other entries, by data centre. With tellAll
// every entry is told of every prompt, which a small fleet can afford: its entries
// send to the engines of all data centres.
func (n *Notifier) SetPeers(peers map[string][]netip.AddrPort, tellAll bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
	n.everyone = nil
	if tellAll {
		n.everyone = slices.Concat(slices.Collect(maps.Values(peers))...)
	}
}

// Sent tells the entries of an engine's data centre that a prompt was sent to it. It
// returns how many it told, and how many it left out to keep to the bound.
func (n *Notifier) Sent(dataCenter string, endpointHash uint32, tokens int) (told, left int) {
	data, err := proto.Marshal(&peerv1.PromptNotice{Endpoint: endpointHash, Tokens: uint32(max(tokens, 0))})
	if err != nil {
		n.cfg.Log.Error("notice not encoded", "error", err)
		return 0, 0
	}
	peers, left := n.take(dataCenter)
	for _, peer := range peers {
		if _, err := n.conn.WriteToUDPAddrPort(data, peer); err != nil {
			n.cfg.Log.Debug("notice not sent", "peer", peer, "error", err)
			continue
		}
		told++
	}
	return told, left
}

// take returns the peers that may be told within the bound of this second, and how
// many others there are.
func (n *Notifier) take(dataCenter string) (peers []netip.AddrPort, left int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := n.cfg.Now().Unix(); now != n.second {
		n.second, n.sent = now, 0
	}
	peers = n.everyone
	if peers == nil {
		peers = n.peers[dataCenter]
	}
	count := min(len(peers), maxPerSecond-n.sent)
	n.sent += count
	return peers[:count], len(peers) - count
}

// Run takes notices until the context ends, and closes the socket.
func (n *Notifier) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { n.conn.Close() })
	defer stop()
	buf := make([]byte, maxBytes)
	for {
		size, _, err := n.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.cfg.Log.Debug("notice not received", "error", err)
			continue
		}
		n.receive(buf[:size])
	}
}

func (n *Notifier) receive(data []byte) {
	var notice peerv1.PromptNotice
	if err := proto.Unmarshal(data, &notice); err != nil {
		n.cfg.Log.Debug("not a notice", "bytes", len(data), "error", err)
		return
	}
	n.cfg.OnPrompt(notice.GetEndpoint(), int(min(notice.GetTokens(), maxTokens)))
}
