//go:build cgo

package startup

// #include "prepare_linux.h"
import "C"

// The constants of the two languages are the same; an array of negative length does not compile.
var (
	_ [ExitTooLittleMemory - C.EXIT_TOO_LITTLE_MEMORY]struct{}
	_ [LeastDataMegabytes - C.LEAST_DATA_MEGABYTES]struct{}
	_ [LeastAddressSpaceMegabytes - C.LEAST_ADDRESS_SPACE_MEGABYTES]struct{}
)

// ThreadStackBytes is the size of the stack of each native thread.
const ThreadStackBytes = C.THREAD_STACK_BYTES
