package readiness_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/readiness"
)

func TestDecide(t *testing.T) {
	ready := readiness.Conditions{CaughtUp: true, ConfigLoaded: true}
	readyExcept := func(change func(*readiness.Conditions)) readiness.Conditions {
		b := ready
		change(&b)
		return b
	}
	for _, c := range []struct {
		name string
		b    readiness.Conditions
		want readiness.State
	}{
		{"nothing known", readiness.Conditions{}, readiness.Starting},
		{"no table", readiness.Conditions{CaughtUp: true}, readiness.Starting},
		{"all well", ready, readiness.Ready},
		{"cut off, but all is served", readyExcept(func(b *readiness.Conditions) { b.Isolated = true }), readiness.Ready},
		{"a target fails everywhere", readyExcept(func(b *readiness.Conditions) { b.UnservableTargets = []string{"desk"} }), readiness.Ready},
		{"others could serve it", readyExcept(func(b *readiness.Conditions) { b.Isolated, b.UnservableTargets = true, []string{"desk"} }), readiness.Stranded},
		{"stops", readyExcept(func(b *readiness.Conditions) {
			b.Stopping, b.Isolated, b.UnservableTargets = true, true, []string{"desk"}
		}), readiness.Stopping},
	} {
		NewWithT(t).Expect(readiness.Decide(c.b)).To(Equal(c.want), c.name)
	}
}
