package readiness_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/readiness"
)

func TestDecide(t *testing.T) {
	ready := readiness.Conditions{CaughtUp: true, ConfigLoaded: true}
	readyExcept := func(change func(*readiness.Conditions)) readiness.Conditions {
		c := ready
		change(&c)
		return c
	}
	for _, c := range []struct {
		name       string
		conditions readiness.Conditions
		want       readiness.State
	}{
		{"nothing loaded", readiness.Conditions{}, readiness.Starting},
		{"no table", readiness.Conditions{CaughtUp: true}, readiness.Starting},
		{"config loaded", ready, readiness.Ready},
		{"cut off, all targets served", readyExcept(func(c *readiness.Conditions) { c.CutOff = true }), readiness.Ready},
		{"target fails in all data centres", readyExcept(func(c *readiness.Conditions) { c.UnservableTargets = []string{"desk"} }), readiness.Ready},
		{"cut off, target served by other data centres", readyExcept(func(c *readiness.Conditions) { c.CutOff, c.UnservableTargets = true, []string{"desk"} }), readiness.Stranded},
		{"stopping", readyExcept(func(c *readiness.Conditions) {
			c.Stopping, c.CutOff, c.UnservableTargets = true, true, []string{"desk"}
		}), readiness.Stopping},
	} {
		NewWithT(t).Expect(readiness.Decide(c.conditions)).To(Equal(c.want), c.name)
	}
}
