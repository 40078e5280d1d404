package settings

import (
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// UsageError is a call of a command whose words are off.
type UsageError string

// Error implements error.
func (e UsageError) Error() string { return string(e) }

// Usagef makes a UsageError.
func Usagef(format string, args ...any) error { return UsageError(fmt.Sprintf(format, args...)) }

// ExitCode writes an error of a command, if it is one, and returns the exit code of its
// process: 0 if it went well or help was asked for, ExitUsage for a UsageError, else 1.
func ExitCode(w io.Writer, err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(w, err)
	if usage := UsageError(""); errors.As(err, &usage) {
		return ExitUsage
	}
	return 1
}
