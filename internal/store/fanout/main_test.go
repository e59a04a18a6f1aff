package fanout

import "testing"

// TestMain initializes the shared codec outside the synctest bubbles of the tests.
func TestMain(m *testing.M) {
	if packed, err := packBundle(0, 0, nil); err != nil || packed == nil {
		panic(err)
	} else if _, _, err := unpackBundle(packed.hash, packed.data); err != nil {
		panic(err)
	}
	m.Run()
}
