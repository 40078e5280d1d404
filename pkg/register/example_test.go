package register_test

import (
	"fmt"
	"time"

	"github.com/bridgehoist/bridgehoist/pkg/register"
)

func ExampleRegister() {
	r := register.New(func(b []byte) (string, error) { return string(b), nil })
	now := time.Now()
	fmt.Println(r.Offer(now, 7, []byte("new"), register.FromStore))
	fmt.Println(r.Offer(now, 6, []byte("late"), register.FromPeer))
	fmt.Println(r.Current().Value)
	// Output:
	// adopted <nil>
	// stale <nil>
	// new
}
