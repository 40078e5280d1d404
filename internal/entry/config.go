package entry

import (
	"net/netip"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/internal/tlsconfig"
)

// Config holds the settings of an entry.
type Config struct {
	VM         string
	DataCenter string
	// Listen, Peer and Operator are the addresses of the three listeners.
	Listen   string
	Peer     string
	Operator string
	// Platform is the base address of the configuration service.
	Platform string
	Policy   string

	// MemoryMB is what the process may use.
	MemoryMB       int
	MaxBodyBytes   int
	MaxOpen        int
	BodyTimeout    time.Duration
	UnreadTimeout  time.Duration
	StallTimeout   time.Duration
	ExchangeEvery  time.Duration
	PollEvery      time.Duration
	WatchWait      time.Duration
	LookIn         time.Duration
	DrainDelay     time.Duration
	DrainTimeout   time.Duration
	HandoverLinger time.Duration
	TicketValidity time.Duration
	MaxTickets     int
	MaxAnswerBytes int
	SeedPeers      string
	PeerToken      string
	PeerNetworks   string
	PeerTLS        tlsconfig.Files
	OperatorTLS    tlsconfig.Files

	networks []netip.Prefix
	seeds    []string
}

// The policies that can be set.
const (
	PolicyScheduler     = "scheduler"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastInFlight = "least-in-flight"
)

// privateNetworks are where peers are by default.
const privateNetworks = "127.0.0.0/8,10.0.0.0/8,172.16.0.0/12,192.168.0.0/16,::1/128,fc00::/7"

// Register adds the settings to a set.
func (c *Config) Register(s *settings.Set) {
	s.StringVar(&c.VM, "vm", "", "name of this VM in the fleet list")
	s.StringVar(&c.DataCenter, "data-center", "", "data centre of this VM")
	s.StringVar(&c.Listen, "listen", "", "IP:port for callers")
	s.StringVar(&c.Peer, "peer", "", "IP:port for other entries")
	s.StringVar(&c.Operator, "operator", "", "IP:port for operators: health, metrics, status")
	s.StringVar(&c.Platform, "platform", "", "http://IP:port of the configuration service")
	s.StringVar(&c.Policy, "policy", PolicyScheduler, "scheduler, round-robin or least-in-flight")
	s.IntVar(&c.MemoryMB, "memory", 1024, "memory in MB that the process may use, which bounds what others can make it hold")
	s.IntVar(&c.MaxBodyBytes, "max-body-bytes", 1<<20, "largest body of a request")
	s.IntVar(&c.MaxOpen, "max-open", 8192, "requests that are open at once")
	s.DurationVar(&c.BodyTimeout, "body-timeout", 10*time.Second, "time for a caller to send its request")
	s.DurationVar(&c.UnreadTimeout, "unread-timeout", 10*time.Second, "time after which an answer is cut off that its caller doesn't read")
	s.DurationVar(&c.StallTimeout, "stall-timeout", 5*time.Second, "time without progress after which a stream's link is taken as lost")
	s.DurationVar(&c.ExchangeEvery, "exchange-every", time.Second, "interval of the exchange with other entries")
	s.DurationVar(&c.PollEvery, "poll-every", 2*time.Second, "interval of reading endpoints' load")
	s.DurationVar(&c.WatchWait, "watch-wait", 30*time.Second, "how long one watch of the platform waits")
	s.DurationVar(&c.LookIn, "look-in", 2*time.Minute, "how often one of the entries of a data centre that do not watch reads the platform")
	s.DurationVar(&c.DrainDelay, "drain-delay", 5*time.Second, "time between unready and closing the listener, for the balancer")
	s.DurationVar(&c.DrainTimeout, "drain-timeout", 10*time.Minute, "longest time for open requests to end at a stop")
	s.DurationVar(&c.HandoverLinger, "handover-linger", 2*time.Second, "time for which peers are still served after the tickets were handed over")
	s.DurationVar(&c.TicketValidity, "ticket-validity", 2*time.Minute, "time for which a ticket may be used")
	s.IntVar(&c.MaxTickets, "max-tickets", 20_000, "tickets within their validity at once")
	s.IntVar(&c.MaxAnswerBytes, "max-answer-bytes", 8<<20, "bytes of answers kept for repeats")
	s.StringVar(&c.SeedPeers, "seed-peers", "", "IP:port,... of entries to ask at the start if the platform is away")
	s.StringVar(&c.PeerToken, "peer-token", "", "secret that all entries share; empty trusts the peer network")
	s.StringVar(&c.PeerNetworks, "peer-networks", privateNetworks, "networks in which owners of tickets are called")
	c.PeerTLS.RegisterPeer(s)
	c.OperatorTLS.RegisterOperator(s)
}

// Check records what is wrong with the settings.
func (c *Config) Check(s *settings.Set) {
	s.NeedText("vm", c.VM)
	s.NeedText("data-center", c.DataCenter)
	s.NeedAddress("listen", c.Listen)
	s.NeedAddress("peer", c.Peer)
	s.NeedAddress("operator", c.Operator)
	s.NeedURL("platform", c.Platform)
	c.checkPolicy(s)
	s.NeedInt("memory", c.MemoryMB, 64, 1<<20)
	s.NeedInt("max-body-bytes", c.MaxBodyBytes, 1, 64<<20)
	s.NeedInt("max-open", c.MaxOpen, 1, 1_000_000)
	s.NeedInt("max-tickets", c.MaxTickets, 1, 10_000_000)
	s.NeedInt("max-answer-bytes", c.MaxAnswerBytes, 0, 1<<30)
	c.checkDurations(s)
	c.checkNetworks(s)
	c.checkSeeds(s)
	c.PeerTLS.CheckPeer(s)
	c.OperatorTLS.CheckOperator(s)
}

func (c *Config) checkPolicy(s *settings.Set) {
	switch c.Policy {
	case PolicyScheduler, PolicyRoundRobin, PolicyLeastInFlight:
	default:
		s.Findf("policy", "%q is none of %s, %s, %s", c.Policy, PolicyScheduler, PolicyRoundRobin, PolicyLeastInFlight)
	}
}

func (c *Config) checkDurations(s *settings.Set) {
	const day = 24 * time.Hour
	s.NeedDuration("body-timeout", c.BodyTimeout, time.Millisecond, time.Hour)
	s.NeedDuration("unread-timeout", c.UnreadTimeout, 100*time.Millisecond, time.Hour)
	s.NeedDuration("stall-timeout", c.StallTimeout, 10*time.Millisecond, time.Hour)
	s.NeedDuration("exchange-every", c.ExchangeEvery, 10*time.Millisecond, time.Minute)
	s.NeedDuration("poll-every", c.PollEvery, 10*time.Millisecond, time.Minute)
	s.NeedDuration("watch-wait", c.WatchWait, 0, 10*time.Minute)
	s.NeedDuration("look-in", c.LookIn, time.Second, time.Hour)
	s.NeedDuration("drain-delay", c.DrainDelay, 0, time.Hour)
	s.NeedDuration("drain-timeout", c.DrainTimeout, time.Second, day)
	s.NeedDuration("handover-linger", c.HandoverLinger, 0, time.Minute)
	s.NeedDuration("ticket-validity", c.TicketValidity, time.Second, day)
}

func (c *Config) checkNetworks(s *settings.Set) {
	c.networks = nil
	for text := range strings.SplitSeq(c.PeerNetworks, ",") {
		p, err := netip.ParsePrefix(strings.TrimSpace(text))
		if err != nil {
			s.Findf("peer-networks", "%q is not a network such as 10.0.0.0/8", text)
			continue
		}
		c.networks = append(c.networks, p)
	}
}

func (c *Config) checkSeeds(s *settings.Set) {
	c.seeds = nil
	if c.SeedPeers == "" {
		return
	}
	for address := range strings.SplitSeq(c.SeedPeers, ",") {
		address = strings.TrimSpace(address)
		s.NeedAddress("seed-peers", address)
		c.seeds = append(c.seeds, address)
	}
}
