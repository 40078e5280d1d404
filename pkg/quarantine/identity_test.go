package quarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// TestIdentity guards against collisions: only the same request of the same workspace has the same
// identity, also when bytes move from one part of the request to the next.
func TestIdentity(t *testing.T) {
	g := NewWithT(t)
	base := quarantine.IdentityOf("w", "h.example", "/a/b", []byte("body"))
	g.Expect(quarantine.IdentityOf("w", "H.example:8080", "/a/b", []byte("body"))).To(Equal(base))
	for name, other := range map[string]quarantine.Identity{
		"another workspace":      quarantine.IdentityOf("v", "h.example", "/a/b", []byte("body")),
		"another host":           quarantine.IdentityOf("w", "i.example", "/a/b", []byte("body")),
		"another path":           quarantine.IdentityOf("w", "h.example", "/a/c", []byte("body")),
		"another query":          quarantine.IdentityOf("w", "h.example", "/a/b?c", []byte("body")),
		"another body":           quarantine.IdentityOf("w", "h.example", "/a/b", []byte("bodz")),
		"a path moved into body": quarantine.IdentityOf("w", "h.example", "/a/", []byte("bbody")),
		"a host moved into path": quarantine.IdentityOf("w", "h.exampl", "e/a/b", []byte("body")),
	} {
		g.Expect(other).NotTo(Equal(base), name)
	}
}
