// Bridgehoist-load sends bursts of the brief's kinds of requests to entries and
// prints what became of them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bridgehoist/bridgehoist/internal/load"
	"github.com/bridgehoist/bridgehoist/internal/settings"
)

type config struct {
	entries  string
	standins string
	profile  string
	rate     float64
	duration time.Duration
	longest  int
	seed     uint64
	json     bool
}

func main() {
	var cfg config
	set := settings.New("bridgehoist-load")
	set.StringVar(&cfg.entries, "entries", "", "http://IP:port,... of entries, used in turn")
	set.StringVar(&cfg.standins, "standins", "", "http://IP:port,... of stand-ins whose runs are compared with the answers")
	set.StringVar(&cfg.profile, "profile", "both", "himal, allkiri or both")
	set.Float64Var(&cfg.rate, "rate", 20, "requests a second, doubled in the middle third")
	set.DurationVar(&cfg.duration, "duration", 10*time.Second, "length of the burst")
	set.IntVar(&cfg.longest, "longest", load.MaxOutputTokens, "longest output in tokens")
	set.Uint64Var(&cfg.seed, "seed", 1, "seed of the arrivals")
	set.BoolVar(&cfg.json, "json", false, "print JSON")
	settings.Main(set, func() { cfg.check(set) }, func() error { return run(cfg) })
}

func (c *config) check(s *settings.Set) {
	for _, e := range strings.Split(c.entries, ",") {
		s.NeedURL("entries", e)
	}
	if c.standins != "" {
		for _, e := range strings.Split(c.standins, ",") {
			s.NeedURL("standins", e)
		}
	}
	if c.rate <= 0 || c.rate > 10_000 {
		s.Findf("rate", "%v is not within 0 (excluded) to 10000", c.rate)
	}
	s.NeedInt("longest", c.longest, 1, load.MaxOutputTokens)
	s.NeedDuration("duration", c.duration, time.Millisecond, time.Hour)
	if kinds(c.profile) == nil {
		s.Findf("profile", "%q is none of himal, allkiri, both", c.profile)
	}
}

func kinds(profile string) []load.Kind {
	switch profile {
	case "himal":
		return load.Himal()
	case "allkiri":
		return load.Allkiri()
	case "both":
		return append(load.Himal(), load.Allkiri()...)
	default:
		return nil
	}
}

func run(cfg config) error {
	rng := rand.New(rand.NewPCG(cfg.seed, 0))
	arrivals := load.Plan(rng, kinds(cfg.profile), cfg.rate, cfg.duration)
	load.Cap(arrivals, cfg.longest)
	c := load.NewClient(strings.Split(cfg.entries, ","), fmt.Sprintf("s%d", cfg.seed))
	records := c.Run(context.Background(), arrivals)
	result := load.Summarize(cfg.seed, records)
	if cfg.standins != "" {
		runs, err := load.Runs(strings.Split(cfg.standins, ","))
		if err != nil {
			return err
		}
		result.Faults = append(result.Faults, load.CheckRuns(records, runs)...)
	}
	if cfg.json {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return err
		}
	} else {
		result.WriteText(os.Stdout)
	}
	if len(result.Faults) > 0 {
		return errors.Errorf("%d promises were broken", len(result.Faults))
	}
	return nil
}
