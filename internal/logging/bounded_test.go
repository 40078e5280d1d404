package logging_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/logging"
)

func TestLinesBeyondTheRateAreDroppedAndCounted(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	b := logging.NewBounded(&out, 10)
	for range 1000 {
		_, err := b.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	b.Close(10 * time.Second)
	written := strings.Count(out.String(), "line\n")
	g.Expect(written).To(BeNumerically(">=", 10))
	g.Expect(written + int(b.Dropped())).To(Equal(1000))
}

// TestAStuckWriterBlocksNobody: the reader of the log may stop reading.
func TestAStuckWriterBlocksNobody(t *testing.T) {
	g := NewWithT(t)
	r, w := io.Pipe()
	defer r.Close()
	b := logging.NewBounded(w, 1_000_000)
	for range 2000 {
		_, err := b.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(b.Dropped()).To(BeNumerically(">", 0))
	b.Close(time.Millisecond)
}

// TestTheLastLinesOfABurstAreWritten guards against a log that doesn't tell why its process ended.
func TestTheLastLinesOfABurstAreWritten(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	b := logging.NewBounded(&out, 10)
	for range 100 {
		_, _ = b.Write([]byte("line\n"))
	}
	_, _ = b.Unlimited().Write([]byte("told to stop\n"))
	b.Close(10 * time.Second)
	g.Expect(out.String()).To(ContainSubstring("told to stop\n"))
	g.Expect(out.String()).To(ContainSubstring("log lines dropped"))
}
