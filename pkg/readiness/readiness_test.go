package readiness_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/readiness"
)

func TestDecide(t *testing.T) {
	up := readiness.Beliefs{CaughtUp: true, HasValues: true}
	with := func(change func(*readiness.Beliefs)) readiness.Beliefs {
		b := up
		change(&b)
		return b
	}
	for _, c := range []struct {
		name string
		b    readiness.Beliefs
		want readiness.State
	}{
		{"nothing known", readiness.Beliefs{}, readiness.Starting},
		{"no table", readiness.Beliefs{CaughtUp: true}, readiness.Starting},
		{"all well", up, readiness.Ready},
		{"cut off, but all is served", with(func(b *readiness.Beliefs) { b.CutOff = true }), readiness.Ready},
		{"a target fails everywhere", with(func(b *readiness.Beliefs) { b.Unservable = []string{"desk"} }), readiness.Ready},
		{"others could serve it", with(func(b *readiness.Beliefs) { b.CutOff, b.Unservable = true, []string{"desk"} }), readiness.Stranded},
		{"stops", with(func(b *readiness.Beliefs) { b.Stopping, b.CutOff, b.Unservable = true, true, []string{"desk"} }), readiness.Stopping},
	} {
		NewWithT(t).Expect(readiness.Decide(c.b)).To(Equal(c.want), c.name)
	}
}
