package revision_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func TestErasGoBeforeNumbers(t *testing.T) {
	g := NewWithT(t)
	id := func(era, number uint64) revision.ID {
		out, err := revision.New(era, number)
		g.Expect(err).NotTo(HaveOccurred())
		return out
	}
	g.Expect(id(2, 33)).To(BeNumerically(">", id(1, 37)))
	g.Expect(id(2, 33)).To(BeNumerically(">", id(1, revision.MaxNumber)))
	g.Expect(id(1, 37)).To(BeNumerically(">", id(1, 36)))
	g.Expect(id(1, 0)).To(BeNumerically(">", id(0, revision.MaxNumber)))
	g.Expect(id(0, 37)).To(Equal(revision.ID(37)))
	g.Expect(id(3, 37).Era()).To(Equal(uint64(3)))
	g.Expect(id(3, 37).Number()).To(Equal(uint64(37)))
	g.Expect(id(3, 37).At(40)).To(Equal(id(3, 40)))
	g.Expect(id(3, 37).String()).To(Equal("3.37"))
	g.Expect(id(0, 37).String()).To(Equal("37"))
}

func TestIDsOutOfBoundsAreErrors(t *testing.T) {
	g := NewWithT(t)
	_, err := revision.New(revision.MaxEra+1, 1)
	g.Expect(err).To(HaveOccurred())
	_, err = revision.New(1, revision.MaxNumber+1)
	g.Expect(err).To(HaveOccurred())
}
