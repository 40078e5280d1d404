// Package notices sends unreliable UDP notices between entries. The entries of an engine's data
// centre are notified of the prompts that are sent to it, of its observed speed, and of the room that
// is reserved there for generations to be copied. One entry of each other data centre periodically
// gets the loads of the local engines.
//
// Readers of the platform's store announce that they read it; see package readership.
//
// Load reports are half a second old when they are used, and the exchange between entries adds as
// much. An engine prefills a prompt within that time, so that entries which rely on reports alone
// all send to the engine that was idle a second ago. A notice is one small datagram to each entry
// of the data centre. Nothing depends on its delivery: after a lost notice an engine appears
// slightly less loaded than it is, and after a forged one more loaded for some seconds.
//
// Announcing each prompt to the entries of other data centres would take as many datagrams as
// there are entries. These entries receive the engines' loads instead, one randomly picked entry
// per data centre at a time.
package notices

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
	"github.com/bridgehoist/bridgehoist/internal/pause"
	"github.com/bridgehoist/bridgehoist/internal/waitfor"
)

const (
	// maxPromptNoticesPerSecond bounds the datagrams per second that announce sent prompts and
	// speeds of engines, whatever the load, and that reserve room for copies; as many may follow to
	// announce the prefill, and the end of the reservations. With 60 entries in a data
	// centre and 0.6 prompts a second per entry there are 33 a second on average, 66 with the
	// prefill notices, which takes 4 of the 15 KB/s allowed for control traffic. The bound allows
	// three prompts per second to be announced to all of the 60 entries.
	maxPromptNoticesPerSecond = 200
	// maxSpeedNoticesPerSecond is the part of that limit up to which speeds of engines are announced.
	// Without them estimates are less exact for some seconds, but without prompt notices an engine
	// seems idle that isn't.
	maxSpeedNoticesPerSecond = maxPromptNoticesPerSecond / 2
	// maxDatagramBytes bounds a datagram so that it isn't fragmented. A prompt notice takes about
	// ten bytes, and the load of an engine about twelve.
	maxDatagramBytes = 1400
	// maxNoticeTokens caps the tokens accepted from one notice, as senders are not authenticated.
	maxNoticeTokens = 1 << 17
)

// Config holds the settings of a Notifier.
type Config struct {
	// Listen is the IP address and UDP port to listen on.
	Listen string
	// OnPromptSent is called for each prompt that another entry has sent to an engine, and
	// OnPromptPrefilled when the engine has processed it. The engine is identified by the hash of
	// its instance.
	OnPromptSent      func(instanceHash uint32, tokens int)
	OnPromptPrefilled func(instanceHash uint32, tokens int)
	// OnSpeed, if set, is called with what another entry has observed of an engine's speed.
	OnSpeed func(instanceHash uint32, speed *peerv1.EngineSpeed)
	// OnLoads is called with the loads of the engines of another data centre.
	OnLoads func(*peerv1.Loads)
	// OnReservations is called with reservations that another entry has announced, and OnInvalid
	// with the kind of a notice that is ignored because it can't be right. Each may be nil.
	OnReservations func([]Reservation)
	OnInvalid      func(kind string)
	// OnReader, if set, is called with announcements of other entries that read the platform's store.
	OnReader func(vm string, state peerv1.ReaderState)
	// Now is the clock for the rate limit of prompt notices.
	Now func() time.Time
	Log *log.Logger
}

// Notifier sends and receives notices. It is safe for concurrent use.
type Notifier struct {
	cfg     Config
	address netip.AddrPort
	// conn is nil until the address could be had.
	conn atomic.Pointer[net.UDPConn]

	mu sync.Mutex
	// peers holds the notice addresses of the other entries by data centre.
	peers map[string][]netip.AddrPort
	// broadcastPeers lists the addresses of all peers while every prompt is announced to all of
	// them; nil otherwise.
	broadcastPeers []netip.AddrPort
	// sentInSecond counts the prompt notices sent in currentSecond, a Unix time.
	currentSecond int64
	sentInSecond  int
}

// New opens the socket for notices. If the address can't be had yet, Run opens it as soon as it can.
func New(cfg Config) (*Notifier, error) {
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "notices")
	}
	n := &Notifier{cfg: cfg, address: address}
	_ = n.open()
	return n, nil
}

func (n *Notifier) open() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.address))
	if err == nil {
		n.conn.Store(conn)
	}
	return err
}

// awaitOpen opens the socket if New couldn't, and returns it, or nil if the context ends before.
func (n *Notifier) awaitOpen(ctx context.Context) *net.UDPConn {
	if n.conn.Load() == nil {
		_, _ = waitfor.Success(ctx, n.cfg.Log, "address", n.address.String(), func() (struct{}, error) { return struct{}{}, n.open() })
	}
	return n.conn.Load()
}

// Close closes the socket of a notifier that doesn't run.
func (n *Notifier) Close() {
	if conn := n.conn.Load(); conn != nil {
		conn.Close()
	}
}

// Address returns the address that the notifier listens on.
func (n *Notifier) Address() netip.AddrPort {
	if conn := n.conn.Load(); conn != nil {
		return conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	return n.address
}

// SetPeers replaces the addresses of the other entries, by data centre. With broadcast every
// prompt is announced to every entry, which a small fleet can afford, as its entries send to the
// engines of all data centres.
func (n *Notifier) SetPeers(peers map[string][]netip.AddrPort, broadcast bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = peers
	n.broadcastPeers = nil
	if broadcast {
		n.broadcastPeers = slices.Concat(slices.Collect(maps.Values(peers))...)
	}
}

// SentPrompt is a prompt that was announced to peers.
type SentPrompt struct {
	// Notified counts the peers that were notified, and Skipped those skipped by the rate limit.
	Notified, Skipped int

	notifier     *Notifier
	peers        []netip.AddrPort
	instanceHash uint32
	tokens       uint32
}

// AnnouncePrompt announces that a prompt was sent to an engine. Recipients are the entries of the
// engine's data centre, or all peers if SetPeers was called with broadcast.
func (n *Notifier) AnnouncePrompt(dataCenter string, instanceHash uint32, tokens int) SentPrompt {
	p := SentPrompt{notifier: n, instanceHash: instanceHash, tokens: uint32(max(tokens, 0))}
	p.peers, p.Skipped = n.reserve(dataCenter, maxPromptNoticesPerSecond)
	p.Notified = p.announce(false, nil)
	return p
}

// AnnouncePrefilled announces to the same peers that the engine has processed the prompt, or
// never will, with what this entry has observed of the engine's speed; nil if nothing.
func (p SentPrompt) AnnouncePrefilled(speed *peerv1.EngineSpeed) { p.announce(true, speed) }

// AnnounceSpeed announces what this entry has observed of an engine's speed to the recipients of
// prompt notices, up to maxSpeedNoticesPerSecond within the same limit. It returns how many peers were notified, and how many
// were skipped by the limit.
func (n *Notifier) AnnounceSpeed(dataCenter string, speed *peerv1.EngineSpeed) (notified, skipped int) {
	peers, skipped := n.reserve(dataCenter, maxSpeedNoticesPerSecond)
	return n.send(&peerv1.Datagram{Kind: &peerv1.Datagram_Speed{Speed: speed}}, peers), skipped
}

func (p SentPrompt) announce(prefilled bool, speed *peerv1.EngineSpeed) int {
	notice := &peerv1.PromptNotice{Endpoint: p.instanceHash, Tokens: p.tokens, Read: prefilled, Speed: speed}
	return p.notifier.send(&peerv1.Datagram{Kind: &peerv1.Datagram_Prompt{Prompt: notice}}, p.peers)
}

// AnnounceLoads sends the loads of the local data centre's engines to one entry of each other
// data centre. Function pick chooses the entry: it returns a number from 0 to n-1. AnnounceLoads
// returns how many entries it sent the loads to.
func (n *Notifier) AnnounceLoads(localDataCenter string, loads *peerv1.Loads, pick func(n int) int) int {
	var recipients []netip.AddrPort
	n.mu.Lock()
	for dataCenter, peers := range n.peers {
		if dataCenter != localDataCenter && len(peers) > 0 {
			recipients = append(recipients, peers[pick(len(peers))])
		}
	}
	n.mu.Unlock()
	return n.send(&peerv1.Datagram{Kind: &peerv1.Datagram_Loads{Loads: loads}}, recipients)
}

// AnnounceReader announces to the other entries of the local data centre whether this entry reads the
// platform's store. It returns how many it notified.
func (n *Notifier) AnnounceReader(localDataCenter, vm string, state peerv1.ReaderState) int {
	n.mu.Lock()
	peers := n.peers[localDataCenter]
	n.mu.Unlock()
	return n.send(&peerv1.Datagram{Kind: &peerv1.Datagram_Reader{Reader: &peerv1.ReaderNotice{Vm: vm, State: state}}}, peers)
}

// send sends a datagram to each peer and returns the number of datagrams sent.
func (n *Notifier) send(d *peerv1.Datagram, peers []netip.AddrPort) (sent int) {
	data, err := proto.Marshal(d)
	if err != nil || len(data) > maxDatagramBytes {
		n.cfg.Log.Error("notice not encoded", "bytes", len(data), "error", err)
		return 0
	}
	conn := n.conn.Load()
	if conn == nil {
		return 0
	}
	for _, peer := range peers {
		if _, err := conn.WriteToUDPAddrPort(data, peer); err != nil {
			n.cfg.Log.Debug("notice not sent", "peer", peer, "error", err)
			continue
		}
		sent++
	}
	return sent
}

// reserve returns the peers that may be notified while no more than limit notices are sent this
// second, counts them as sent, and returns how many others are skipped.
func (n *Notifier) reserve(dataCenter string, limit int) (peers []netip.AddrPort, skipped int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now := n.cfg.Now().Unix(); now != n.currentSecond {
		n.currentSecond, n.sentInSecond = now, 0
	}
	peers = n.broadcastPeers
	if peers == nil {
		peers = n.peers[dataCenter]
	}
	count := max(min(len(peers), limit-n.sentInSecond), 0)
	n.sentInSecond += count
	return peers[:count], len(peers) - count
}

// receiveBackoff is the wait after an error of the socket.
const receiveBackoff = 10 * time.Millisecond

// Run receives notices until the context ends, then closes the socket.
func (n *Notifier) Run(ctx context.Context) {
	conn := n.awaitOpen(ctx)
	if conn == nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		size, _, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.cfg.Log.Debug("notice not received", "error", err)
			// The error may last.
			pause.For(ctx, receiveBackoff)
			continue
		}
		n.receive(buf[:size])
	}
}

func (n *Notifier) receiveSpeed(instanceHash uint32, speed *peerv1.EngineSpeed) {
	if n.cfg.OnSpeed != nil {
		n.cfg.OnSpeed(instanceHash, speed)
	}
}

func (n *Notifier) receive(data []byte) {
	var d peerv1.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		n.cfg.Log.Debug("not a notice", "bytes", len(data), "error", err)
		return
	}
	switch kind := d.GetKind().(type) {
	case *peerv1.Datagram_Prompt:
		handler := n.cfg.OnPromptSent
		if kind.Prompt.GetRead() {
			handler = n.cfg.OnPromptPrefilled
		}
		handler(kind.Prompt.GetEndpoint(), int(min(kind.Prompt.GetTokens(), maxNoticeTokens)))
		if kind.Prompt.GetRead() && kind.Prompt.GetSpeed() != nil {
			n.receiveSpeed(kind.Prompt.GetEndpoint(), kind.Prompt.GetSpeed())
		}
	case *peerv1.Datagram_Speed:
		n.receiveSpeed(kind.Speed.GetEndpoint(), kind.Speed)
	case *peerv1.Datagram_Reader:
		if n.cfg.OnReader != nil {
			n.cfg.OnReader(kind.Reader.GetVm(), kind.Reader.GetState())
		}
	case *peerv1.Datagram_Loads:
		n.cfg.OnLoads(kind.Loads)
	case *peerv1.Datagram_Reservations:
		reservations, valid := decodeReservations(kind.Reservations)
		switch {
		case !valid && n.cfg.OnInvalid != nil:
			n.cfg.OnInvalid("reservations")
		case len(reservations) > 0 && n.cfg.OnReservations != nil:
			n.cfg.OnReservations(reservations)
		}
	}
}
