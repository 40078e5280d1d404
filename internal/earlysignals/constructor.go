//go:build cgo

package earlysignals

/*
#include <signal.h>

// The Go runtime leaves SIGHUP ignored if it is at the start of the runtime, until it is caught.
__attribute__((constructor)) static void ignore_hangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
