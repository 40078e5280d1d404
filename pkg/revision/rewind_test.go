package revision_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func TestRewindStartsNewEpoch(t *testing.T) {
	g := NewWithT(t)
	newID := func(era, number uint64) revision.ID {
		id, err := revision.New(era, number)
		g.Expect(err).NotTo(HaveOccurred())
		return id
	}
	previous := newID(3, 18)
	g.Expect(newID(3, 18).WithRewinds(previous, 0)).To(Equal(previous))
	g.Expect(newID(3, 19).WithRewinds(previous, 0)).To(Equal(newID(3, 19)))
	g.Expect(newID(4, 2).WithRewinds(previous, 0)).To(Equal(newID(4, 2)), "the store reports the new era")

	rewound := newID(3, 13).WithRewinds(previous, 0)
	g.Expect(rewound).To(BeNumerically(">", newID(3, revision.MaxNumber)))
	g.Expect(rewound).To(BeNumerically("<", newID(4, 0)))
	g.Expect(rewound.Number()).To(Equal(uint64(13)))
	g.Expect(rewound.Epoch()).NotTo(Equal(previous.Epoch()))
	g.Expect(rewound.String()).To(Equal("3+1.13"))
	g.Expect(newID(3, 16).WithRewinds(rewound, 0)).To(Equal(rewound.WithNumber(16)))

	g.Expect(newID(3, 14).WithRewinds(previous, rewound)).To(Equal(rewound.WithNumber(14)), "peers have already detected the same rewind, which counts only once")
	g.Expect(newID(3, 25).WithRewinds(previous, rewound)).To(Equal(rewound.WithNumber(25)))
	g.Expect(newID(4, 2).WithRewinds(previous, rewound)).To(Equal(newID(4, 2)))
	g.Expect(newID(3, 14).WithRewinds(previous, previous)).To(Equal(rewound.WithNumber(14)))
}

func TestRewindsDoNotOverflowIntoEra(t *testing.T) {
	g := NewWithT(t)
	id, err := revision.New(1, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	for n := uint64(999); n > 500; n-- {
		next, err := revision.New(1, n)
		g.Expect(err).NotTo(HaveOccurred())
		id = next.WithRewinds(id, 0)
		g.Expect(id.Era()).To(Equal(uint64(1)))
	}
	g.Expect(id.Rewinds()).To(Equal(uint64(revision.MaxRewinds)))
}
