package limits_test

import (
	"fmt"

	"github.com/bridgehoist/bridgehoist/pkg/limits"
)

func ExampleCounter() {
	c := limits.New()
	c.SetEntryCount(3)
	k := limits.Key{Workspace: "hetauda-plant", Kind: "shift-report"}
	c.SetPeerUsage("entry-2", map[limits.Hash]int{k.Hash(): 63})
	fmt.Println(c.Allows(k, 64))
	c.Acquire(k, 64)
	fmt.Println(c.Allows(k, 64))
	// Output:
	// true
	// false
}
