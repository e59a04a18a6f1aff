package program

import (
	"encoding/json"
	"unique"
)

// InternedString is a string that the process stores once per content, such as the
// system prompt of a template. The zero value is the empty string.
type InternedString struct{ handle unique.Handle[string] }

// Intern returns the interned string for a text.
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

// IsZero reports whether the string is empty; JSON omits it then.
func (t InternedString) IsZero() bool { return t == InternedString{} }

// Equal reports whether two strings are the same.
func (t InternedString) Equal(other InternedString) bool { return t == other }

// MarshalJSON encodes the text as a JSON string.
func (t InternedString) MarshalJSON() ([]byte, error) { return json.Marshal(t.String()) }

// UnmarshalJSON decodes a JSON string.
func (t *InternedString) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	*t = Intern(text)
	return nil
}
