package revision_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/pkg/revision"
)

func TestOrderByEraThenNumber(t *testing.T) {
	g := NewWithT(t)
	newID := func(era, number uint64) revision.ID {
		id, err := revision.New(era, number)
		g.Expect(err).NotTo(HaveOccurred())
		return id
	}
	g.Expect(newID(2, 33)).To(BeNumerically(">", newID(1, 37)))
	g.Expect(newID(2, 33)).To(BeNumerically(">", newID(1, revision.MaxNumber)))
	g.Expect(newID(1, 37)).To(BeNumerically(">", newID(1, 36)))
	g.Expect(newID(1, 0)).To(BeNumerically(">", newID(0, revision.MaxNumber)))
	g.Expect(newID(0, 37)).To(Equal(revision.ID(37)))
	g.Expect(newID(3, 37).Era()).To(Equal(uint64(3)))
	g.Expect(newID(3, 37).Number()).To(Equal(uint64(37)))
	g.Expect(newID(3, 37).WithNumber(40)).To(Equal(newID(3, 40)))
	g.Expect(newID(3, 37).String()).To(Equal("3.37"))
	g.Expect(newID(0, 37).String()).To(Equal("37"))
}

func TestNewOutOfBounds(t *testing.T) {
	g := NewWithT(t)
	_, err := revision.New(revision.MaxEra+1, 1)
	g.Expect(err).To(HaveOccurred())
	_, err = revision.New(1, revision.MaxNumber+1)
	g.Expect(err).To(HaveOccurred())
}
