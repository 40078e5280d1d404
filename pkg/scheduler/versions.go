package scheduler

// Current is the name of the version that the entries use.
const Current = "v4"

// Versions lists the versions of the scheduler, the oldest first. Earlier ones
// are kept so that each change stays measurable against what was before.
func Versions() []string { return []string{"v1", "v2", "v3", "v4"} }

// priorOfV1 is the prior of output lengths that v1 started with.
const priorOfV1 = 0.125

// Version returns the configuration of a version.
func Version(name string) Config {
	cfg := Config{Margin: DefaultMargin, UrgentShare: DefaultUrgentShare}
	if name == "v1" {
		cfg.PriorHazard = priorOfV1
		return cfg
	}
	cfg.UrgentOvercommit = true
	if name == "v2" {
		cfg.PriorHazard = priorOfV1
		return cfg
	}
	cfg.RateSmoothing = 0.05
	cfg.Recost = true
	cfg.DisplaceRatio = 3
	if name == "v3" {
		return cfg
	}
	cfg.Parts = true
	return cfg
}
