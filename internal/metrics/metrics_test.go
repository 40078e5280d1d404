package metrics_test

import (
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bridgehoist/bridgehoist/internal/job"
	"github.com/bridgehoist/bridgehoist/internal/metrics"
)

// TestLatencyRatio checks that predictions are compared with the latency of the attempt, and that requests
// without a prediction don't count.
func TestLatencyRatio(t *testing.T) {
	g := NewWithT(t)
	m := metrics.New()
	timings := job.Timings{TimeToFirstToken: time.Second, ExpectedLatency: 40 * time.Millisecond, AttemptLatency: 100 * time.Millisecond}
	m.Observe(&job.Job{Workspace: "w", Kind: "k", Timings: timings})
	m.Observe(&job.Job{Workspace: "w", Kind: "k", Timings: job.Timings{TimeToFirstToken: time.Second}})
	families, err := m.Registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == "bridgehoist_service_latency_ratio" {
			histogram := family.GetMetric()[0].GetHistogram()
			g.Expect(histogram.GetSampleCount()).To(BeEquivalentTo(1))
			g.Expect(histogram.GetSampleSum()).To(BeNumerically("~", 2.5, 1e-9))
			return
		}
	}
	t.Fatal("no histogram of the ratio")
}

// TestEveryMetricIsRegistered guards against metrics that are counted and never shown.
func TestEveryMetricIsRegistered(t *testing.T) {
	g := NewWithT(t)
	m := metrics.New()
	for field, value := range reflect.ValueOf(m).Elem().Fields() {
		if !field.IsExported() {
			continue
		}
		if c, ok := value.Interface().(prometheus.Collector); ok && value.Interface() != any(m.Registry) {
			g.Expect(m.Registry.Register(c)).To(BeAssignableToTypeOf(prometheus.AlreadyRegisteredError{}), field.Name)
		}
	}
}
