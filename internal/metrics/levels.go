package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bridgehoist/bridgehoist/pkg/scheduler"
)

// levelCollector exports what became of the requests of each level, which the scheduler counts.
type levelCollector struct {
	read func() []scheduler.LevelStats
}

var levelLabels = []string{"rank", "priority"}

func levelDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+"_"+name, help, append(levelLabels, labels...), nil)
}

var (
	levelWaiting  = levelDesc("level_waiting", "Requests that wait at the entry, by level.")
	levelWaited   = levelDesc("level_waited_total", "Requests that were sent to an endpoint after waiting, by level.")
	levelRefused  = levelDesc("level_refused_total", "Requests that were refused for lack of room, by level.")
	levelAnswers  = levelDesc("level_answers_total", "Answers by level, and by whether they began within their objective.", "start")
	levelStart    = levelDesc("level_start_seconds", "Time from sending a prompt to its first token, predicted and actual, by level.", "time")
	levelMistaken = levelDesc("level_start_mistaken_total", "Prompts whose first token came much earlier or later than predicted, by level.", "start")
)

// Levels registers the metrics of levels. read is called for each scrape.
func (m *Metrics) Levels(read func() []scheduler.LevelStats) {
	m.Registry.MustRegister(levelCollector{read})
}

// Describe implements prometheus.Collector.
func (levelCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{levelWaiting, levelWaited, levelRefused, levelAnswers, levelStart, levelMistaken} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c levelCollector) Collect(ch chan<- prometheus.Metric) {
	for _, l := range c.read() {
		labels := []string{strconv.Itoa(l.Rank), strconv.Itoa(l.Priority)}
		count := func(d *prometheus.Desc, n uint64, more ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), append(labels, more...)...)
		}
		ch <- prometheus.MustNewConstMetric(levelWaiting, prometheus.GaugeValue, float64(l.Waiting), labels...)
		count(levelWaited, l.Waited)
		count(levelRefused, l.Refused)
		count(levelAnswers, l.InTime, "in_time")
		count(levelAnswers, l.Late, "late")
		count(levelMistaken, l.StartedEarlier, "earlier")
		count(levelMistaken, l.StartedLater, "later")
		ch <- startHistogram(l.Predicted, append(labels, "predicted"))
		ch <- startHistogram(l.Actual, append(labels, "actual"))
	}
}

func startHistogram(h scheduler.StartTimes, labels []string) prometheus.Metric {
	buckets := map[float64]uint64{}
	for i, bound := range scheduler.StartBounds {
		buckets[bound] = h.Counts[i]
	}
	return prometheus.MustNewConstHistogram(levelStart, h.Count, h.Seconds, buckets, labels...)
}
