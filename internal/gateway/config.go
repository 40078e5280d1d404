package gateway

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

// Config holds the settings of a gateway that are the system's own; the others
// come from the platform's settings file.
type Config struct {
	// MetricsPort is the port of the metrics on the VM's address.
	MetricsPort int

	MaxBodyBytes  int
	MaxOpen       int
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	UnreadTimeout time.Duration
	ExchangeEvery time.Duration
	LoadsEvery    time.Duration
	PollEvery     time.Duration
	PollPressed   time.Duration
	PollIdle      time.Duration
	WatchWait     time.Duration
	WatchSpacing  time.Duration
	// WatchSecondSpacing is WatchSpacing of all but the first watcher of a data centre.
	WatchSecondSpacing time.Duration
	LookIn             time.Duration
	DrainDelay         time.Duration
	LapseHold          time.Duration
	LogLines           int
	// MaxDelegated bounds the requests of peers that are open at once.
	MaxDelegated int
	// Without are the mechanisms that are switched off.
	Without mechanisms
}

// Register adds the settings to a set.
func (c *Config) Register(s *settings.Set) {
	s.IntVar(&c.MetricsPort, "metrics-port", 0, "port of the metrics on the VM's address; 0 serves none")
	s.IntVar(&c.MaxBodyBytes, "max-body-bytes", 4<<20, "largest body of a request")
	s.IntVar(&c.MaxOpen, "max-open", 1024, "requests that are open at once")
	s.DurationVar(&c.BodyTimeout, "body-timeout", 10*time.Second, "time for a caller to send its request")
	s.DurationVar(&c.IdleTimeout, "idle-timeout", time.Minute, "time for which a caller's connection is kept without use")
	s.DurationVar(&c.UnreadTimeout, "unread-timeout", 5*time.Second, "time after which an answer is cut off that its caller doesn't read")
	s.DurationVar(&c.ExchangeEvery, "exchange-every", 500*time.Millisecond, "interval of the exchange with other entries")
	s.DurationVar(&c.LoadsEvery, "loads-every", 500*time.Millisecond, "interval of telling an entry of each other data centre how busy the engines here are")
	s.DurationVar(&c.PollEvery, "poll-every", 1200*time.Millisecond, "interval of reading engines' states")
	s.DurationVar(&c.PollPressed, "poll-pressed", 400*time.Millisecond, "the same while requests wait or are refused because engines are full")
	s.DurationVar(&c.PollIdle, "poll-idle", peering.DefaultIdlePollInterval, "the same for engines that are taken to hold no work")
	s.DurationVar(&c.WatchSpacing, "watch-spacing", 250*time.Millisecond, "mean time between news of the store and the next watch, so that one call reads several changes")
	s.DurationVar(&c.WatchSecondSpacing, "watch-second-spacing", time.Second, "the same for watchers that are not the first of their data centre")
	s.DurationVar(&c.WatchWait, "watch-wait", 3*time.Second, "how long one watch of the store waits")
	s.DurationVar(&c.LookIn, "look-in", 20*time.Second, "how often one of the entries of a data centre that do not watch reads the store")
	s.DurationVar(&c.DrainDelay, "drain-delay", 3*time.Second, "time between unready and closing the listener, for the balancer")
	s.DurationVar(&c.LapseHold, "lapse-hold", 1800*time.Millisecond, "time for which endpoints are used that vanished together")
	s.Var(&c.Without, "without", "mechanisms to switch off, for measurements; names separated by commas")
	s.IntVar(&c.MaxDelegated, "max-delegated", 128, "requests open at once that peers delegate since they reach no endpoint")
	s.IntVar(&c.LogLines, "log-lines", 40, "lines of log a second")
}

// Check records what is wrong with the settings.
func (c *Config) Check(s *settings.Set) {
	const maxPort = 65535
	s.NeedInt("metrics-port", c.MetricsPort, 0, maxPort)
	s.NeedInt("max-body-bytes", c.MaxBodyBytes, 1, 64<<20)
	s.NeedInt("max-open", c.MaxOpen, 1, 1_000_000)
	s.NeedDuration("body-timeout", c.BodyTimeout, time.Millisecond, time.Hour)
	s.NeedDuration("unread-timeout", c.UnreadTimeout, 100*time.Millisecond, time.Hour)
	s.NeedDuration("idle-timeout", c.IdleTimeout, time.Second, time.Hour)
	s.NeedDuration("exchange-every", c.ExchangeEvery, 10*time.Millisecond, time.Minute)
	s.NeedDuration("loads-every", c.LoadsEvery, 10*time.Millisecond, time.Minute)
	s.NeedDuration("poll-every", c.PollEvery, 10*time.Millisecond, time.Minute)
	s.NeedDuration("watch-spacing", c.WatchSpacing, 0, 5*time.Second)
	s.NeedDuration("poll-idle", c.PollIdle, 10*time.Millisecond, time.Minute)
	s.NeedDuration("poll-pressed", c.PollPressed, 10*time.Millisecond, time.Minute)
	s.NeedDuration("watch-wait", c.WatchWait, 100*time.Millisecond, 30*time.Second)
	s.NeedDuration("watch-second-spacing", c.WatchSecondSpacing, 0, 10*time.Second)
	s.NeedDuration("look-in", c.LookIn, time.Second, time.Hour)
	s.NeedDuration("drain-delay", c.DrainDelay, 0, time.Minute)
	s.NeedDuration("lapse-hold", c.LapseHold, 0, time.Minute)
	c.Without.check(s)
	s.NeedInt("max-delegated", c.MaxDelegated, 0, 100_000)
	s.NeedInt("log-lines", c.LogLines, 1, 100_000)
}
