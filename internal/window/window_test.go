package window_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bridgehoist/bridgehoist/internal/window"
)

// TestMost: both ends of the window count, wherever it lies.
func TestMost(t *testing.T) {
	g := NewWithT(t)
	var times []time.Time
	for _, second := range []int64{0, 1, 5, 6, 6, 9, 20} {
		times = append(times, time.Unix(second, 0))
	}
	g.Expect(window.Most(nil, time.Second)).To(Equal(0))
	g.Expect(window.Most(times, 0)).To(Equal(2))
	g.Expect(window.Most(times, 4*time.Second)).To(Equal(4))
	g.Expect(window.Most(times, time.Hour)).To(Equal(7))
}
