package enginemodel

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrInvalid is returned for settings and orders that make no sense.
var ErrInvalid = eris.New("invalid")

// NewParameterError names a parameter that is out of range.
func NewParameterError(field, allowed string) error {
	return eris.Wrap(ErrInvalid, fmt.Sprintf("parameter %s must be %s", field, allowed))
}
