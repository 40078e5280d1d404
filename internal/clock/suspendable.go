//go:build suspendable

package clock

import (
	"os"
	"time"
)

// suspendedVariable names the environment variable with the path of a file that contains the
// suspended time. Programs built with the tag read it, so that the soak test can suspend
// processes without root. Released programs are built without the tag.
const suspendedVariable = "SOAK_SUSPENDED"

func init() {
	state.source = func() (time.Duration, error) {
		text, err := os.ReadFile(os.Getenv(suspendedVariable))
		if err != nil || len(text) == 0 {
			return 0, nil
		}
		return time.ParseDuration(string(text))
	}
}
