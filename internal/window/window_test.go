package window_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/window"
)

// TestMaxCount checks that events at both ends of a window count, for windows at any position.
func TestMaxCount(t *testing.T) {
	g := NewWithT(t)
	var times []time.Time
	for _, second := range []int64{0, 1, 5, 6, 6, 9, 20} {
		times = append(times, time.Unix(second, 0))
	}
	g.Expect(window.MaxCount(nil, time.Second)).To(Equal(0))
	g.Expect(window.MaxCount(times, 0)).To(Equal(2))
	g.Expect(window.MaxCount(times, 4*time.Second)).To(Equal(4))
	g.Expect(window.MaxCount(times, time.Hour)).To(Equal(7))
}
