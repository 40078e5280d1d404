package experiment

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/invariant"
)

// TestSameSeedSameRun: figures in docs can be repeated.
func TestSameSeedSameRun(t *testing.T) {
	defer invariant.Strict()()
	g := NewWithT(t)
	sc := Scenarios()[1]
	sc.Duration = 10 * time.Second
	for _, p := range append(Policies(), Ablations()...) {
		a, b := newSim(sc, p, 7).run(7), newSim(sc, p, 7).run(7)
		g.Expect(*a).To(Equal(*b), p.Name)
		g.Expect(a.Sent).To(BeNumerically(">", 100))
	}
}

// TestEveryScenarioRuns: every request ends, whatever goes wrong.
func TestEveryScenarioRuns(t *testing.T) {
	defer invariant.Strict()()
	g := NewWithT(t)
	policies := Policies()
	for _, sc := range Scenarios() {
		sc.Duration = 12 * time.Second
		s := newSim(sc, policies[len(policies)-1], 3)
		r := s.run(3)
		g.Expect(r.Answered).To(BeNumerically(">", 0), sc.Name)
		g.Expect(r.Answered+r.Refused).To(BeNumerically("<=", r.Sent), sc.Name)
	}
}
