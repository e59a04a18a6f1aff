package program

import (
	"encoding/json"
	"unique"
)

// InternedString is a text that the whole process keeps once by its content, such
// as the system prompt that all programs of a template begin with. The zero
// value is the empty text.
type InternedString struct{ handle unique.Handle[string] }

// Intern returns the shared copy of a text.
func Intern(text string) InternedString {
	if text == "" {
		return InternedString{}
	}
	return InternedString{handle: unique.Make(text)}
}

// String returns the text.
func (t InternedString) String() string {
	if t.IsZero() {
		return ""
	}
	return t.handle.Value()
}

// IsZero tells whether the text is empty; JSON leaves it out then.
func (t InternedString) IsZero() bool { return t == InternedString{} }

// Equal tells whether two texts are the same.
func (t InternedString) Equal(other InternedString) bool { return t == other }

// MarshalJSON gives the text as a string.
func (t InternedString) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// UnmarshalJSON reads a string.
func (t *InternedString) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*t = Intern(text)
	return nil
}
