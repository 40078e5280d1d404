package membership_test

import (
	"fmt"
	"testing"

	peerv1 "github.com/bridgehoist/bridgehoist/gen/bridgehoist/peer/v1"
)

// BenchmarkMembers lists the 294 peers of an entry in a fleet of 295.
func BenchmarkMembers(b *testing.B) {
	v := newView("self", 1, 1)
	var peers []*peerv1.NodeRecord
	for i := range 294 {
		peers = append(peers, &peerv1.NodeRecord{Vm: fmt.Sprintf("edge-hetauda-hall-%d", i), DataCenter: "hall", Version: 1})
	}
	v.Merge(start, peers)
	b.ReportAllocs()
	for b.Loop() {
		if got := len(v.Members(start)); got != len(peers) {
			b.Fatal(got)
		}
	}
}
