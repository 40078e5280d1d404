//go:build linux && cgo

package threadstacks

/*
#define _GNU_SOURCE
#include <pthread.h>

// Bytes of a stack, for the runtime and for a call of the C library.
enum { stack_bytes = 256 << 10 };

__attribute__((constructor)) static void limit_stacks(void) {
	pthread_attr_t attr;
	if (pthread_attr_init(&attr) != 0) {
		return;
	}
	if (pthread_attr_setstacksize(&attr, stack_bytes) == 0) {
		pthread_setattr_default_np(&attr);
	}
	pthread_attr_destroy(&attr);
}
*/
import "C"
