package enginemodel

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrInvalid is returned for parameters out of range.
var ErrInvalid = eris.New("invalid engine parameters")

// NewParameterError returns an ErrInvalid that names a parameter out of range.
func NewParameterError(field, allowed string) error {
	return eris.Wrap(ErrInvalid, fmt.Sprintf("parameter %s must be %s", field, allowed))
}
