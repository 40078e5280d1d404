package contain

import (
	"github.com/charmbracelet/log"

	"github.com/bridgehoist/bridgehoist/pkg/quarantine"
)

// LogChanges logs which requests become isolated, half-open or contained, and which cease to
// be.
func LogChanges(logger *log.Logger, changes []Change) {
	for _, c := range changes {
		if c.Current > quarantine.Suspected || c.Previous > quarantine.Suspected {
			logger.Warn("quarantine", "identity", c.Identity, "parts", quarantine.JoinParts(c.Parts), "standing", c.Current, "before", c.Previous, "ends", c.Terminations)
		}
	}
}
