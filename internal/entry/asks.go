package entry

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/engineclient"
	"github.com/bridgehoist/bridgehoist/internal/peering"
	"github.com/bridgehoist/bridgehoist/pkg/drain"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

// onSaid takes what the head of an answer says of its endpoint, whatever was asked. In a pause
// nothing new goes there; what runs there may be followed and stopped.
func (e *Entry) onSaid(from fleet.Endpoint, said engineclient.Said) {
	incarnation := max(said.Incarnation, from.Incarnation)
	if said.Draining {
		e.beliefs.RecordLeave(drain.Leave{Endpoint: from.ID, Incarnation: incarnation}, peering.SourceEndpoint)
	}
	if said.Pause > 0 && incarnation == from.Incarnation {
		e.pause(from, said.Pause)
	}
}

func (e *Entry) pause(from fleet.Endpoint, lasts time.Duration) {
	if e.dispatcher.Pause(from.Instance(), lasts) {
		e.metrics.Pauses.Inc()
		e.log.Info("endpoint wants a pause", "endpoint", from.ID, "lasts", lasts)
	}
}
