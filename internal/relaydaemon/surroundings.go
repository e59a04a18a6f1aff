package relaydaemon

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrSurroundings: the machine does not give what the settings need.
var ErrSurroundings = eris.New("relaydaemon: the surroundings do not suit the settings")

// minDescriptors is the least limit on descriptors: with less, connections to the store and to other daemons
// fail beside few callers.
const minDescriptors = 128

// CheckSurroundings returns what of the machine does not suit the settings: limits of the process that are
// too low, and addresses that can not be listened at. The error wraps ErrSurroundings.
func CheckSurroundings(settings Settings) error {
	problems := settings.checkLimits(dataLimit(), descriptorLimit())
	listeners, err := openAll(settings)
	if err != nil {
		problems = append(problems, err)
	} else {
		listeners.close()
	}
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrSurroundings, errors.Join(problems...))
}

// checkLimits returns what is wrong with the limits of the process on data, in bytes, and on descriptors; 0 is
// no limit.
func (s *Settings) checkLimits(data int64, descriptors int) (problems []error) {
	if memory := s.memoryBytes(); data > 0 && data < memory {
		problems = append(problems, eris.Errorf("the limit on data (ulimit -d) is %d MB, less than memory_megabytes, which is %d", data/megabyte, memory/megabyte))
	}
	if descriptors > 0 && descriptors < minDescriptors {
		problems = append(problems, eris.Errorf("the limit on descriptors (ulimit -n) is %d, must be at least %d", descriptors, minDescriptors))
	}
	return problems
}
