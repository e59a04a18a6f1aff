package memorybudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestTextsFitOrAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		length   int
		declared int64
		limit    int64
		want     error
	}{
		"no bound":                        {length: 1 << 20, declared: -1},
		"empty":                           {length: 0, declared: 0, limit: 1},
		"declared":                        {length: 100_000, declared: 100_000, limit: 250_000},
		"not declared":                    {length: 100_000, declared: -1, limit: 400_000},
		"declared beyond the budget":      {length: 1, declared: 1 << 40, limit: 1 << 20, want: ErrFull},
		"not declared, beyond the budget": {length: 1 << 20, declared: -1, limit: 1 << 20, want: ErrFull},
		"shorter than declared":           {length: 100_000, declared: 100_001, limit: 400_000, want: io.ErrUnexpectedEOF},
		"nothing of what is declared":     {length: 0, declared: 10, limit: 400_000, want: io.ErrUnexpectedEOF},
		"long beside the reserve":         {length: 90_000, declared: 90_000, limit: 100_000, want: ErrFull},
		"short within the reserve":        {length: 60_000, declared: 60_000, limit: 61_000},
	} {
		t.Run(name, func(t *testing.T) {
			budget := New(test.limit)
			holding := budget.Begin()
			text, err := holding.ReadAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", test.length))), test.declared)
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if err == nil && len(text) != test.length {
				t.Errorf("read %d bytes, want %d", len(text), test.length)
			}
			if test.limit > 0 && err == nil && budget.Held() != int64(cap(text)) {
				t.Errorf("%d bytes are held for a buffer of %d", budget.Held(), cap(text))
			}
			if holding.Release(); budget.Held() != 0 {
				t.Errorf("%d bytes are held after the release", budget.Held())
			}
		})
	}
}

func TestErrorOfReadingIsReturned(t *testing.T) {
	want := errors.New("cut")
	holding := New(1 << 20).Begin()
	if _, err := holding.ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 1000)), iotest.ErrReader(want)), 2000); !errors.Is(err, want) {
		t.Errorf("got %v, want %v", err, want)
	}
}

func TestBudgetIsShared(t *testing.T) {
	budget := New(100)
	first, second := budget.Begin(), budget.Begin()
	if !first.Grow(60) || second.Grow(60) {
		t.Error("60 and 60 bytes were admitted, or the first were not")
	}
	first.Shrink(30)
	if !second.Grow(60) {
		t.Error("60 bytes were not admitted beside 30")
	}
	var none *Holding
	if !none.Grow(1 << 40) {
		t.Error("a holding without a budget has a bound")
	}
	none.Release()
}

func TestTextThatIsCutOffIsNotTakenForWhole(t *testing.T) {
	for _, length := range []int{0, 10, minPiece, 1000, 100_000} {
		for _, declared := range []int64{-1, int64(length), int64(length) + 1} {
			source := io.MultiReader(strings.NewReader(strings.Repeat("x", length)), iotest.ErrReader(io.ErrUnexpectedEOF))
			text, err := New(1<<20).Begin().ReadAll(source, declared)
			isWhole := declared == int64(length) // no more is read
			if isWhole != (err == nil) || isWhole && len(text) != length {
				t.Errorf("%d bytes, %d declared: got %d bytes and %v", length, declared, len(text), err)
			}
		}
	}
}
