package revision_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func TestANumberThatIsGivenOutAgainFollowsTheFirstOne(t *testing.T) {
	g := NewWithT(t)
	at := func(era, number uint64) revision.ID {
		id, err := revision.New(era, number)
		g.Expect(err).NotTo(HaveOccurred())
		return id
	}
	before := at(3, 18)
	g.Expect(at(3, 18).Follow(before, 0)).To(Equal(before))
	g.Expect(at(3, 19).Follow(before, 0)).To(Equal(at(3, 19)))
	g.Expect(at(4, 2).Follow(before, 0)).To(Equal(at(4, 2)), "the store tells it itself")

	back := at(3, 13).Follow(before, 0)
	g.Expect(back).To(BeNumerically(">", at(3, revision.MaxNumber)))
	g.Expect(back).To(BeNumerically("<", at(4, 0)))
	g.Expect(back.Number()).To(Equal(uint64(13)))
	g.Expect(back.Epoch()).NotTo(Equal(before.Epoch()))
	g.Expect(back.String()).To(Equal("3+1.13"))
	g.Expect(at(3, 16).Follow(back, 0)).To(Equal(back.At(16)))

	g.Expect(at(3, 14).Follow(before, back)).To(Equal(back.At(14)), "others have noticed it first, once")
	g.Expect(at(3, 25).Follow(before, back)).To(Equal(back.At(25)))
	g.Expect(at(4, 2).Follow(before, back)).To(Equal(at(4, 2)))
	g.Expect(at(3, 14).Follow(before, before)).To(Equal(back.At(14)))
}

func TestRewindsDoNotOverflowIntoTheEra(t *testing.T) {
	g := NewWithT(t)
	id, err := revision.New(1, 1000)
	g.Expect(err).NotTo(HaveOccurred())
	for n := uint64(999); n > 500; n-- {
		next, err := revision.New(1, n)
		g.Expect(err).NotTo(HaveOccurred())
		id = next.Follow(id, 0)
		g.Expect(id.Era()).To(Equal(uint64(1)))
	}
	g.Expect(id.Rewinds()).To(Equal(uint64(revision.MaxRewinds)))
}
