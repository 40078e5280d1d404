package freeport

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestPortsOfOtherProcessesAreLeftAlone: another process has chosen the next ports and
// listens at none of them yet.
func TestPortsOfOtherProcessesAreLeftAlone(t *testing.T) {
	g := NewWithT(t)
	const theirs = 5
	chosen := map[int]bool{}
	mu.Lock()
	for port := next + 1; port <= next+theirs; port++ {
		release, ok := reserve(port)
		g.Expect(ok).To(BeTrue())
		defer release()
		chosen[port] = true
	}
	mu.Unlock()
	for range theirs {
		g.Expect(chosen).NotTo(HaveKey(Port(t)))
	}
}
