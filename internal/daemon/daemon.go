// Package daemon runs a program that serves until it is told to stop.
//
// Nothing that surrounds it ends a daemon besides SIGTERM and SIGINT: other signals are ignored or reload its settings,
// and a log that can't be written is dropped.
package daemon

import (
	"context"
	"io"
	stdlog "log"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bridgehoist/bridgehoist/internal/earlysignals"
	"github.com/bridgehoist/bridgehoist/internal/logging"
	"github.com/bridgehoist/bridgehoist/internal/settings"
	// Limits the stacks of threads.
	_ "github.com/bridgehoist/bridgehoist/internal/threadstacks"
)

const (
	// logFlush is how long the end of the process waits for its log.
	logFlush = 100 * time.Millisecond
)

// LogLines bounds the lines of log a second where no setting does.
var LogLines = 1000

// Process is what a daemon gets from its process.
type Process struct {
	// Hangups delivers SIGHUP; those that arrive while one waits are dropped.
	Hangups <-chan os.Signal
	out     *logging.Bounded
}

// Logger makes the logger of a component.
func (p *Process) Logger(component, vm string) *log.Logger { return logging.New(p.out, component, vm) }

// ends makes the logger of the lines that tell why a process ends, whatever else is logged.
func (p *Process) ends(program string) *log.Logger {
	return logging.New(p.out.Unlimited(), program, "")
}

// IgnoreHangups logs that SIGHUP changes nothing. It is for daemons that get their settings from their start alone.
func (p *Process) IgnoreHangups(logger *log.Logger) {
	go func() {
		for range p.Hangups {
			logger.Info("hangup ignored: settings are read at the start")
		}
	}()
}

// Main reads and checks the settings, calls run, and ends the process. The context of run ends at SIGTERM or SIGINT;
// further ones change nothing. The log goes to out, at most as many lines a second as logLines points to.
func Main(s *settings.Set, out io.Writer, logLines *int, check func(), run func(context.Context, *Process) error) {
	errs := logging.NewBounded(os.Stderr, LogLines)
	code := settings.Run(s, errs, check, func() error {
		lines := logging.NewBounded(out, *logLines)
		defer lines.Close(logFlush)
		stdlog.SetOutput(lines)
		p := &Process{Hangups: earlysignals.Hangups(), out: lines}
		err := run(p.stopContext(s.Name()), p)
		if err != nil {
			p.ends(s.Name()).Error("ended", "error", err)
		}
		return err
	})
	errs.Close(logFlush)
	os.Exit(code)
}

// stopContext returns a context that ends at SIGTERM or SIGINT.
func (p *Process) stopContext(program string) context.Context {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		s := <-earlysignals.Stops()
		p.ends(program).Info("told to stop", "signal", s)
		stop()
	}()
	return ctx
}
