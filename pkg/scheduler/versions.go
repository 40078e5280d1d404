package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/routing"
)

// CurrentVersion is the name of the version that entries use.
const CurrentVersion = "v7"

// ForwardingVersion is the name of the version for gateways, whose endpoints accept requests in
// the order of arrival. Their load is known from their reports and from notices of peers.
const ForwardingVersion = "v20"

// startScale is the expected start that lowers a score as much as the use of the whole memory: the
// 8,000 pending prefill tokens of earlier versions at DefaultPrefillRate.
const startScale = 1150 * time.Millisecond

// priorHazardV1 is the PriorHazard of v1.
const priorHazardV1 = 0.125

// versions lists the changes of each version, the oldest first. Earlier versions are kept so
// that the effect of each change can be measured.
var versions = []struct {
	name   string
	change func(*Config)
}{
	{"v1", func(c *Config) { c.PriorHazard = priorHazardV1 }},
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
		// The inter-token latency includes the pauses during moves, so that it is no basis for
		// refusing requests.
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
		// Requests go to the least loaded of a few engines, so a lower inter-token latency is no
		// reason to prefer one.
		c.removeScorers(isInterTokenLatencyScorer)
		// All rows of the platform have the same weight, so no request is worth displacing a
		// waiting one for.
		c.DisplaceRatio = math.Inf(1)
	}},
	{"v12", func(c *Config) {
		c.RequireRemoteReports = true
		c.PrefillFromNotices = true
	}},
	{"v13", func(c *Config) { c.LearnEffectivePrefillRate = true }},
	{"v14", func(c *Config) { c.FIFOPrefill = true }},
	{"v15", func(c *Config) {
		c.EngineSpeed = true
		c.Pipeline = c.Pipeline.WithEngineSpeed(startScale)
	}},
	{"v16", func(c *Config) {
		c.GapObjective = true
		c.Pipeline = c.Pipeline.WithGapObjective()
	}},
	{"v17", func(c *Config) {
		c.LimitByPrecedence = true
		c.ReserveByDemand = true
		c.RefuseByForecast = true
		c.OrderByPrecedence = true
	}},
	{"v18", func(c *Config) { c.SpreadRetries = true }},
	{"v19", func(c *Config) { c.ServiceLatency = true }},
	{"v20", func(c *Config) {
		c.PrecedenceWhereKindsYield = true
		c.SpeedWhereGapsDiffer = true
	}},
}

// Versions returns the names of all versions, the oldest first.
func Versions() []string {
	var names []string
	for _, v := range versions {
		names = append(names, v.name)
	}
	return names
}

// Version returns the configuration of a version, with the changes of all versions up to it. For
// an unknown name it returns the defaults.
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
