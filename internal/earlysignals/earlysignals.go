// Package earlysignals takes the signals of a daemon as early as a program can.
//
// The default action of SIGHUP ends a process, and main runs only some milliseconds after the exec. With cgo a
// constructor ignores SIGHUP before the Go runtime starts; initializing this package then catches it. Programs that
// import this package don't end by any of the signals here, so only daemons may.
//
// The signals are caught until the process ends: stopping to catch them would bring their default actions back while
// the process still has requests to end.
package earlysignals

import (
	"os"
	"os/signal"
	"syscall"
)

var (
	stops   = make(chan os.Signal, 1)
	hangups = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	// Without this the runtime ends a process whose standard output or standard error is a pipe without a reader.
	signal.Ignore(syscall.SIGPIPE)
}

// Stops delivers SIGTERM and SIGINT.
func Stops() <-chan os.Signal { return stops }

// Hangups delivers SIGHUP. Those that arrive while one waits are dropped.
func Hangups() <-chan os.Signal { return hangups }
