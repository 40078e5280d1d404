package peering

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/membership"
)

// TestRankAmong checks which members ranks count. Shares of the limit of a cold endpoint count
// unreachable members too, so that the shares of the two sides of a network partition do not
// exceed the limit; half-open quarantine trials rotate among the live members only.
func TestRankAmong(t *testing.T) {
	g := NewWithT(t)
	member := func(vm string, s membership.Status) membership.Member {
		return membership.Member{Contact: membership.Contact{VM: vm}, Status: s}
	}
	members := []membership.Member{member("a", membership.Dead), member("b", membership.Alive), member("d", membership.Left),
		member("e", membership.Suspect), member("f", membership.Alive)}
	rank, entries := rankAmong("c", members, isAlive)
	g.Expect([]int{rank, entries}).To(Equal([]int{1, 3}))
	rank, entries = rankAmong("c", members, mayServe)
	g.Expect([]int{rank, entries}).To(Equal([]int{2, 5}))
}
