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
		{"nothing loaded", readiness.Conditions{}, readiness.Starting},
		{"no table", readiness.Conditions{CaughtUp: true}, readiness.Starting},
		{"config loaded", ready, readiness.Ready},
		{"isolated, all targets served", readyExcept(func(b *readiness.Conditions) { b.Isolated = true }), readiness.Ready},
		{"target fails in all data centres", readyExcept(func(b *readiness.Conditions) { b.UnservableTargets = []string{"desk"} }), readiness.Ready},
		{"isolated, target served elsewhere", readyExcept(func(b *readiness.Conditions) { b.Isolated, b.UnservableTargets = true, []string{"desk"} }), readiness.Stranded},
		{"stopping", readyExcept(func(b *readiness.Conditions) {
			b.Stopping, b.Isolated, b.UnservableTargets = true, true, []string{"desk"}
		}), readiness.Stopping},
	} {
		NewWithT(t).Expect(readiness.Decide(c.b)).To(Equal(c.want), c.name)
	}
}
