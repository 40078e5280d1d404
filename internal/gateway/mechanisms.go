package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/bridgehoist/bridgehoist/internal/settings"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// Mechanisms of the gateway that can be switched off beside those of the scheduler.
const (
	// mechMoves moves generations off engines that are about to end.
	mechMoves scheduler.Mechanism = "moves"
	// mechCopyRefresh copies what is new until the link is free, before a generation is
	// stopped.
	mechCopyRefresh scheduler.Mechanism = "copy-refresh"
	// mechCopySlack leaves time between the copies of a plan.
	mechCopySlack scheduler.Mechanism = "copy-slack"
	// mechGroupPlans makes one plan for engines that leave together.
	mechGroupPlans scheduler.Mechanism = "group-plans"
	// mechMoveReservations reserves the room that a plan uses at its targets.
	mechMoveReservations scheduler.Mechanism = "move-reservations"
	// mechMoveRetargeting tries another target at once if one refuses a generation.
	mechMoveRetargeting scheduler.Mechanism = "move-retargeting"
	// mechNotices tells other entries of each prompt that is sent.
	mechNotices scheduler.Mechanism = "notices"
	// mechLoadNews tells entries of other data centres how busy the engines are.
	mechLoadNews scheduler.Mechanism = "load-news"
	// mechClosingReads reads the state of engines that close a connection.
	mechClosingReads scheduler.Mechanism = "closing-reads"
	// mechReaders splits the reading of engines' states among the entries.
	mechReaders scheduler.Mechanism = "readers"
	// mechSettling waits after the start before engines and store are read.
	mechSettling scheduler.Mechanism = "settling"
	// mechReaderNotices has readers of the store announce themselves.
	mechReaderNotices scheduler.Mechanism = "reader-notices"
	// mechRetryBudget bounds the repeats of each target.
	mechRetryBudget scheduler.Mechanism = "retry-budget"
	// mechLapseHold uses endpoints a little longer that vanish together.
	mechLapseHold scheduler.Mechanism = "lapse-hold"
	// mechStranded sends callers elsewhere from an entry that is cut off from what they
	// ask for.
	mechStranded scheduler.Mechanism = "stranded"
	// mechDelegation has peers serve requests for targets that this entry can't reach.
	mechDelegation scheduler.Mechanism = "delegation"
	// mechQuarantine keeps requests that crash what runs them from endpoints.
	mechQuarantine scheduler.Mechanism = "quarantine"
)

var ownMechanisms = []scheduler.Mechanism{
	mechMoves, mechCopyRefresh, mechCopySlack, mechGroupPlans, mechMoveReservations, mechMoveRetargeting, mechNotices, mechLoadNews, mechClosingReads,
	mechReaders, mechReaderNotices, mechSettling, mechRetryBudget, mechLapseHold, mechStranded, mechDelegation, mechQuarantine,
}

// mechanisms is a set of mechanisms, as a setting.
type mechanisms []scheduler.Mechanism

// String implements flag.Value.
func (m *mechanisms) String() string {
	var out []string
	for _, one := range *m {
		out = append(out, string(one))
	}
	return strings.Join(out, ",")
}

// Set implements flag.Value.
func (m *mechanisms) Set(text string) error {
	*m = nil
	for name := range strings.SplitSeq(text, ",") {
		if name != "" {
			*m = append(*m, scheduler.Mechanism(name))
		}
	}
	return nil
}

func (m mechanisms) has(one scheduler.Mechanism) bool { return slices.Contains(m, one) }

func (c *Config) lapseHold() time.Duration {
	if c.Without.has(mechLapseHold) {
		return 0
	}
	return c.LapseHold
}

// settle is the time after the start in which neither engines nor the store are read.
func (c *Config) settle() time.Duration {
	if c.Without.has(mechSettling) {
		return 0
	}
	return settleRounds * c.ExchangeEvery
}

// readers is how many entries of a data centre read the state of an engine.
func (c *Config) readers() int {
	if c.Without.has(mechReaders) {
		return everyEntry
	}
	return readersPerEngine
}

// everyEntry is more than a data centre has.
const everyEntry = 1 << 16

func (m mechanisms) check(s *settings.Set) {
	for _, one := range m {
		if !slices.Contains(ownMechanisms, one) && !slices.Contains(scheduler.Mechanisms(), one) {
			s.Findf("without", "%q is no mechanism; there are %v and %v", one, ownMechanisms, scheduler.Mechanisms())
		}
	}
}
