//go:build suspendable

package clock

import (
	"os"
	"time"
)

// Programs built with the tag read how long they were suspended from the file that this
// variable names, so that the soak can suspend processes without root. The shipped programs
// are built without it.
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
