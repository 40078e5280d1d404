package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// Current is the name of the version that the entries use.
const Current = "v7"

// Forwarding is the name of the version for entries whose endpoints take requests as
// they come: what they hold is known from their reports and from the other entries'
// notices.
const Forwarding = "v14"

// priorOfV1 is the prior of output lengths that v1 started with.
const priorOfV1 = 0.125

// versions lists what each version changed, the oldest first. Earlier ones are
// kept so that each change stays measurable against what was before.
var versions = []struct {
	name   string
	change func(*Config)
}{
	{"v1", func(c *Config) { c.PriorHazard = priorOfV1 }},
	{"v2", func(c *Config) { c.UrgentOvercommit = true }},
	{"v3", func(c *Config) {
		c.PriorHazard = 0
		c.DrainRateSmoothing = 0.05
		c.RecomputeCosts = true
		c.DisplaceRatio = 3
	}},
	{"v4", func(c *Config) { c.PartitionMemory = true }},
	{"v5", func(c *Config) {
		c.PeerLoadFromReports = true
		c.MaxBorrowUtilization = 0.75
	}},
	{"v6", func(c *Config) { c.DrainRateWarmUp = 4 * time.Second }},
	{"v7", func(c *Config) { c.OrderByValuePerCost = true }},
	{"v8", func(c *Config) {
		c.PeerLoadFromReports = false
		c.PartitionMemory = false
		c.OrderByValuePerCost = false
		c.Pipeline = routing.AcrossDataCenters()
		c.ServicePipeline = routing.LocalFirst()
		// The time between tokens counts the pauses of moves, so it says too little.
		c.DisableTimeoutRefusals = true
		c.PrefillRate = DefaultPrefillRate
		c.LocalSampleSize = 2
		c.RemoteSampleSize = 3
	}},
	{"v9", func(c *Config) {
		c.DataCenterBreakers = true
		c.RefuseUnservable = true
	}},
	{"v10", func(c *Config) {
		c.EnforceStartObjective = true
		c.PeerLoadFromReportsAndNotices = true
	}},
	{"v11", func(c *Config) {
		c.LimitWaitByRunTime = true
		// Faster tokens are no reason where work goes to the emptiest of some engines.
		c.removeScorers(isSpeedScorer)
		// Rows of the platform all weigh the same, so nobody is worth more than one who
		// waits.
		c.DisplaceRatio = math.Inf(1)
	}},
	{"v12", func(c *Config) {
		c.RequireRemoteReports = true
		c.PrefillFromNotices = true
	}},
	{"v13", func(c *Config) { c.LearnEffectivePrefillRate = true }},
	{"v14", func(c *Config) { c.FIFOPrefill = true }},
}

// Versions lists the names of the versions, the oldest first.
func Versions() []string {
	var out []string
	for _, v := range versions {
		out = append(out, v.name)
	}
	return out
}

// Version returns the configuration of a version: all changes up to it.
func Version(name string) Config {
	cfg := Config{MarginStdDevs: DefaultMarginStdDevs, UrgentReserve: DefaultUrgentReserve}
	if !slices.Contains(Versions(), name) {
		return cfg
	}
	for _, v := range versions {
		v.change(&cfg)
		if v.name == name {
			break
		}
	}
	return cfg
}
