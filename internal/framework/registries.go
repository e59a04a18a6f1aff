package framework

import (
	"time"

	"github.com/mintpulley/mintpulley/internal/kernel"
)

// DriverSettings are the arguments of a driver factory.
type DriverSettings struct {
	// Addresses are the service's replicas, "IP:PORT". They are empty for
	// drivers of engines and applications, which get the address with each call.
	Addresses []string
	// Timeout bounds one request that is not a stream.
	Timeout time.Duration
}

// TimeoutOr returns the timeout, or the driver's own default if none is set.
func (s DriverSettings) TimeoutOr(own time.Duration) time.Duration {
	if s.Timeout == 0 {
		return own
	}
	return s.Timeout
}

// Registries of driver factories, by the driver's name in the settings.
var (
	EngineDrivers      kernel.Registry[func(DriverSettings) EngineDriver]
	ApplicationDrivers kernel.Registry[func(DriverSettings) ApplicationDriver]
	EventLogs          kernel.Registry[func(DriverSettings) EventLog]
	MachineLists       kernel.Registry[func(DriverSettings) MachineList]
)
