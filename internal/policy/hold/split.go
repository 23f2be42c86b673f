package hold

// The shares of a VM's memory, in tenths. What is left of the machine's memory besides the runtime's
// share is for the program itself and for the kernel's buffers.
const (
	tenths        = 10
	clientTenths  = 3
	runtimeTenths = 6
)

// ClientMemory returns how much of a VM's memory, in bytes, may be held for clients. As much again is
// needed until the garbage collector has found what was given back.
func ClientMemory(memory int) int { return memory / tenths * clientTenths }

// RuntimeMemory returns how much of a VM's memory, in bytes, the Go runtime may use before the
// garbage collector runs more often.
func RuntimeMemory(memory int) int { return memory / tenths * runtimeTenths }
