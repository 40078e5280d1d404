package membership_test

import (
	"fmt"
	"testing"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// BenchmarkMembers walks the view of an entry of 295.
func BenchmarkMembers(b *testing.B) {
	v := view("self", 1, 1)
	var others []*peerv1.NodeRecord
	for i := range 294 {
		others = append(others, &peerv1.NodeRecord{Vm: fmt.Sprintf("edge-hetauda-hall-%d", i), DataCenter: "hall", Version: 1})
	}
	v.Merge(start, others)
	b.ReportAllocs()
	for b.Loop() {
		if got := len(v.Members(start)); got != len(others) {
			b.Fatal(got)
		}
	}
}
