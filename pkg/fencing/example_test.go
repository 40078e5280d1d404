package fencing_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/fencing"
	"github.com/bridgehoist/bridgehoist/pkg/fleet"
)

func ExamplePlan() {
	list, err := fleet.Parse("fleet", []byte(`{"vms":[],"workspaces":[],"endpoints":[{"id":"engine-1","type":"engine","data_center":"hall",
		"address":"10.0.0.9:80","targets":["m"],"incarnation":1,"state":"live","capacity_tokens":1,"max_running":1,"checks_fencing":true,"desired":["m"]}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	snapshot := fencing.FleetSnapshot{Revision: 12, List: list}
	for _, o := range fencing.Plan(snapshot, "hall", []fencing.EngineReport{{Endpoint: "engine-1", Fencing: 9}}, 2) {
		fmt.Println(o.Endpoint.ID, o.Fencing, o.Desired)
	}
	// Output: engine-1 12 [m]
}
