package loopback

import (
	"net"
	"testing"
)

func portOf(t *testing.T, address string) int {
	t.Helper()
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return resolved.Port
}

func TestFreeAddressesAreOutsideTheEphemeralRange(t *testing.T) {
	hasRoom := ephemeralStart() >= freePortCount+minPort
	given := map[int]bool{}
	for range 200 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		port := portOf(t, address)
		if given[port] {
			t.Errorf("port %d was given twice", port)
		}
		given[port] = true
		if hasRoom && port >= ephemeralStart() {
			t.Fatalf("port %d is in the kernel's ephemeral range, which begins at %d", port, ephemeralStart())
		}
	}
}

func TestFreeAddressIsNotInUse(t *testing.T) {
	for range 50 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%s: %v", address, err)
			continue
		}
		t.Cleanup(func() { _ = listener.Close() })
	}
}
