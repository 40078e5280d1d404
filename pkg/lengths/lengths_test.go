package lengths_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/lengths"
)

func TestEstimatesMeanLength(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	e := lengths.New(lengths.PriorHazard)
	k := lengths.Key{Workspace: "w", Kind: "k"}
	sum := 0.0
	const n = 600
	for range n {
		length := int(200 * math.Exp(0.5*rng.NormFloat64()))
		sum += float64(length)
		r := e.Start(k)
		r.End(length)
	}
	g.Expect(e.Remaining(k, 0)).To(BeNumerically("~", sum/n, 0.15*sum/n))
	g.Expect(e.Remaining(k, 400)).To(BeNumerically("<", 300))
}

// Running requests that are longer than earlier ones must raise the estimate
// before any of them has ended.
func TestRunningRequestsRaiseEstimate(t *testing.T) {
	g := NewWithT(t)
	e := lengths.New(lengths.PriorHazard)
	k := lengths.Key{Workspace: "w", Kind: "k"}
	for range 200 {
		r := e.Start(k)
		r.End(100)
	}
	before := e.Remaining(k, 0)
	for range 60 {
		r := e.Start(k)
		r.Advance(1000)
	}
	g.Expect(e.Remaining(k, 0)).To(BeNumerically(">", 2*before))
}

// A workspace without requests must use the estimate of its kind in other
// workspaces.
func TestNewWorkspaceUsesKindEstimate(t *testing.T) {
	g := NewWithT(t)
	e := lengths.New(lengths.PriorHazard)
	for range 200 {
		r := e.Start(lengths.Key{Workspace: "old", Kind: "k"})
		r.End(12)
	}
	g.Expect(e.Remaining(lengths.Key{Workspace: "new", Kind: "k"}, 0)).To(BeNumerically("~", 12, 4))
}

func TestProjection(t *testing.T) {
	g := NewWithT(t)
	e := lengths.New(lengths.PriorHazard)
	k := lengths.Key{Workspace: "w", Kind: "k"}
	for range 300 {
		r := e.Start(k)
		r.End(100)
	}
	p := e.Project(k, 500, 0)
	g.Expect(p.Mean[0]).To(BeNumerically("==", 500))
	g.Expect(p.Mean[1]).To(BeNumerically("~", 564, 30), "still running after 64 steps")
	g.Expect(p.Mean[2]).To(BeNumerically("<", 60), "ended after 256 steps")
	for i := range p.Variance {
		g.Expect(p.Variance[i]).To(BeNumerically(">=", 0))
	}
}

// An unknown kind must not be assumed to have short outputs, else too little
// memory is reserved for it.
func TestUnknownKindIsNotAssumedShort(t *testing.T) {
	g := NewWithT(t)
	e := lengths.New(lengths.PriorHazard)
	expected := e.Remaining(lengths.Key{Workspace: "w", Kind: "new"}, 0)
	g.Expect(expected).To(And(BeNumerically(">", 60), BeNumerically("<", 1000)))
}
