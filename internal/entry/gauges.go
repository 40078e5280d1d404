package entry

import (
	"time"

	"github.com/bridgehoist/bridgehoist/internal/clock"
	"github.com/bridgehoist/bridgehoist/internal/contain"
	"github.com/bridgehoist/bridgehoist/internal/metrics"
	"github.com/bridgehoist/bridgehoist/pkg/membership"
	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// registerGauges adds the metrics that are read when they are asked for: the age
// of each belief, and what is held.
func (e *Entry) registerGauges() {
	contain.Gauges(e.metrics, e.beliefs.Guard())
	e.metrics.Gauge("table_age_seconds", "Time since the table in force was adopted.", func() float64 {
		if h := e.store.Table(); h != nil {
			return metrics.Age(h.AdoptedAt)
		}
		return metrics.Age(time.Time{})
	})
	e.metrics.Gauge("table_revision", "Revision of the table in force.", func() float64 {
		if h := e.store.Table(); h != nil {
			return float64(h.Revision.Number())
		}
		return 0
	})
	e.metrics.Gauge("fleet_age_seconds", "Time since the fleet list in force was adopted.", func() float64 {
		if h := e.store.Fleet(); h != nil {
			return metrics.Age(h.AdoptedAt)
		}
		return metrics.Age(time.Time{})
	})
	e.metrics.Gauge("ready", "1 if the entry is ready.", func() float64 {
		if e.ready() {
			return 1
		}
		return 0
	})
	e.metrics.Gauge("ticket_records", "Records of used tickets.", func() float64 {
		_, records := e.owner.Stats()
		return float64(records)
	})
	e.metrics.Total("exchange_bytes_total", "Bytes exchanged with other entries, both ways.", func() float64 {
		_, bytes := e.traffic.Totals()
		return float64(bytes)
	})
	e.metrics.Total("exchange_messages_total", "Messages exchanged with other entries, both ways.", func() float64 {
		messages, _ := e.traffic.Totals()
		return float64(messages)
	})
	for _, status := range []membership.Status{membership.Alive, membership.Suspect, membership.Dead, membership.Left} {
		e.metrics.Gauge("members_"+status.String(), "Other entries by status.", func() float64 { return e.countMembers(status) })
	}
	e.metrics.Gauge("oldest_report_seconds", "Age of the oldest load report of an endpoint with work of this entry.", e.oldestReport)
}

func (e *Entry) countMembers(status membership.Status) float64 {
	n := 0.0
	e.beliefs.WithView(func(v *membership.View) {
		for _, m := range v.Members(clock.Now()) {
			if m.Status == status {
				n++
			}
		}
	})
	return n
}

func (e *Entry) oldestReport() float64 {
	oldest := time.Duration(0)
	e.dispatcher.View(func(now time.Time, p scheduler.Policy) {
		s, ok := p.(*scheduler.Scheduler)
		if !ok {
			return
		}
		for _, st := range s.Status(now) {
			if st.Running > 0 {
				oldest = max(oldest, st.ReportAge)
			}
		}
	})
	return oldest.Seconds()
}
