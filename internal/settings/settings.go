// Package settings reads the settings of a binary from flags and environment
// variables and reports everything wrong with them together.
//
// Each flag may also be set by the variable PREFIX_FLAG_NAME. A bad setting
// ends the process with ExitUsage; the message names the flag and the variable.
package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

// ExitUsage is the exit code for bad settings.
const ExitUsage = 2

// EnvPrefix starts every environment variable.
const EnvPrefix = "BRIDGEHOIST"

// Set collects the settings of one binary and the findings about them.
type Set struct {
	*flag.FlagSet
	findings []string
}

// New makes an empty set for a binary.
func New(name string) *Set {
	return &Set{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError)}
}

// Read reads the flags and the environment.
func (s *Set) Read(args []string) error {
	err := ff.Parse(s.FlagSet, args, ff.WithEnvVarPrefix(EnvPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		s.findings = append(s.findings, err.Error())
	}
	if s.NArg() > 0 {
		s.findings = append(s.findings, fmt.Sprintf("unexpected argument %q", s.Arg(0)))
	}
	return nil
}

// EnvName gives the variable that sets a flag.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Findf records a finding about a flag.
func (s *Set) Findf(flagName, format string, args ...any) {
	s.findings = append(s.findings,
		fmt.Sprintf("-%s (%s): %s", flagName, EnvName(flagName), fmt.Sprintf(format, args...)))
}

// NeedText checks that a setting isn't empty.
func (s *Set) NeedText(flagName, value string) {
	if value == "" {
		s.Findf(flagName, "not set")
	}
}

// NeedAddress checks that a setting is an IP and a port.
func (s *Set) NeedAddress(flagName, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.Findf(flagName, "%q is not IP:port", value)
	}
}

// NeedURL checks that a setting is an HTTP address by IP.
func (s *Set) NeedURL(flagName, value string) {
	rest, ok := strings.CutPrefix(value, "http://")
	if !ok {
		rest, ok = strings.CutPrefix(value, "https://")
	}
	if _, err := netip.ParseAddrPort(rest); !ok || err != nil {
		s.Findf(flagName, "%q is not http://IP:port or https://IP:port", value)
	}
}

// NeedDuration checks that a duration is within bounds.
func (s *Set) NeedDuration(flagName string, value, low, high time.Duration) {
	if value < low || value > high {
		s.Findf(flagName, "%v is not within %v to %v", value, low, high)
	}
}

// NeedInt checks that a number is within bounds.
func (s *Set) NeedInt(flagName string, value, low, high int) {
	if value < low || value > high {
		s.Findf(flagName, "%d is not within %d to %d", value, low, high)
	}
}

// Err returns all findings as one error, or nil.
func (s *Set) Err() error {
	if len(s.findings) == 0 {
		return nil
	}
	return errors.Errorf("%s: %d bad settings:\n  %s", s.Name(), len(s.findings), strings.Join(s.findings, "\n  "))
}

// Exit reports an error and gives the exit code for it: zero for a call of
// -help, ExitUsage otherwise.
func Exit(w io.Writer, err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(w, err)
	return ExitUsage
}

// Main runs a binary: it reads and checks the settings, then calls run.
func Main(s *Set, check func(), run func() error) {
	os.Exit(Run(s, os.Stderr, check, run))
}

// Run is Main for programs that end themselves: it writes findings and errors to w and returns the exit code.
func Run(s *Set, w io.Writer, check func(), run func() error) int {
	return mainCode(s, os.Args[1:], w, check, run)
}

func mainCode(s *Set, args []string, w io.Writer, check func(), run func() error) int {
	s.SetOutput(w)
	if err := s.Read(args); err != nil {
		return Exit(w, err)
	}
	check()
	if err := s.Err(); err != nil {
		return Exit(w, err)
	}
	if err := run(); err != nil {
		fmt.Fprintln(w, err)
		return 1
	}
	return 0
}
