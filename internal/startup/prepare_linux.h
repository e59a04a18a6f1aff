// Constants of the preparation of a process; see prepare_linux.c and startup.go.

// THREAD_STACK_BYTES is the size of a native thread's stack in bytes. The C library maps all of it
// as data when it creates the thread; its default is the soft limit on stacks, usually 8 MB. Go code
// runs on stacks of its own.
#define THREAD_STACK_BYTES (256 * 1024)

// MALLOC_ARENAS is the number of allocation arenas of the C library. By default it adds one for each
// thread. Go code allocates nothing there.
#define MALLOC_ARENAS 1

#define EXIT_TOO_LITTLE_MEMORY 4
#define LEAST_DATA_MEGABYTES 56
#define LEAST_ADDRESS_SPACE_MEGABYTES 1400
