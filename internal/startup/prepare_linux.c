// The preparation of a process, which runs before the Go runtime starts.

//go:build cgo

#define _GNU_SOURCE
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "prepare_linux.h"

// set_thread_stack_size sets the default size of the stacks of threads.
static void set_thread_stack_size(void) {
	pthread_attr_t attributes;
	if (pthread_attr_init(&attributes) != 0) {
		return;
	}
	if (pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES) == 0) {
		pthread_setattr_default_np(&attributes); // on an error the C library's default stays
	}
	pthread_attr_destroy(&attributes);
}

// require_limit ends the process if a resource limit is below what the Go runtime needs to start.
static void require_limit(int resource, const char *name, unsigned long megabytes) {
	struct rlimit limit;
	if (getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
		return;
	}
	unsigned long given = (unsigned long)(limit.rlim_cur >> 20);
	if (given < megabytes) {
		fprintf(stderr, "%s is %lu MB, must be at least %lu MB\n", name, given, megabytes);
		_Exit(EXIT_TOO_LITTLE_MEMORY);
	}
}

__attribute__((constructor)) static void prepare_process(void) {
	signal(SIGHUP, SIG_IGN);
	require_limit(RLIMIT_DATA, "the limit on data (ulimit -d)", LEAST_DATA_MEGABYTES);
	require_limit(RLIMIT_AS, "the limit on address space (ulimit -v)", LEAST_ADDRESS_SPACE_MEGABYTES);
	set_thread_stack_size();
#ifdef __GLIBC__
	mallopt(M_ARENA_MAX, MALLOC_ARENAS);
#endif
}
