// Package logging makes the structured logger of the daemons.
//
// Lines are written only for changes of state; what happens often is counted.
// Neither content of callers nor secrets are logged.
package logging

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// New makes a logger that writes logfmt lines.
func New(w io.Writer, component, vm string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
	})
	return l.With("component", component, "vm", vm)
}

// Discard makes a logger for tests.
func Discard() *log.Logger { return log.New(io.Discard) }
