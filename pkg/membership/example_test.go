package membership_test

import (
	"fmt"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/membership"
)

func ExampleView() {
	now := time.Now()
	a := membership.New(membership.Config{VM: "entry-1", DataCenter: "hall", PeerAddress: "10.0.0.1:7000", Incarnation: []byte{1}})
	b := membership.New(membership.Config{VM: "entry-2", DataCenter: "hall", PeerAddress: "10.0.0.2:7000", Incarnation: []byte{2}})
	response := b.Respond(now, a.Digests(now, ""), "") // a sends its digests, b responds
	a.Merge(now, response.Records)
	b.Merge(now, a.Records(response.Wanted)) // a pushes the records that b requests
	for _, m := range b.Members(now) {
		fmt.Println(m.VM, m.Address, m.Status)
	}
	// Output: entry-1 10.0.0.1:7000 alive
}
