package core

import (
	"testing"

	"github.com/go-faster/errors"

	"firplank/balance"
)

// Names of classes and of tenants must be unique.
func TestCatalogRejectsDuplicateNames(t *testing.T) {
	rules := make([]balance.Class, 2)
	for _, c := range []struct {
		classes, tenants []string
		want             error
	}{
		{[]string{"a", "b"}, []string{"a", "b"}, nil},
		{[]string{"a", "a"}, nil, ErrDuplicateName},
		{[]string{"a", "b"}, []string{"t", "t"}, ErrDuplicateName},
	} {
		if _, err := NewCatalog(rules, c.classes, c.tenants); !errors.Is(err, c.want) {
			t.Errorf("classes %v, tenants %v: %v, want %v", c.classes, c.tenants, err, c.want)
		}
	}
}

// In a catalog without tenants any name is tenant 0; with tenants an unknown name has no number.
func TestCatalogNumbersNames(t *testing.T) {
	rules := []balance.Class{{Deadline: 10}, {Deadline: 30}, {Deadline: 20}}
	open, err := NewCatalog(rules, []string{"a", "b", "c"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, ok := open.Tenant("anybody"); n != 0 || !ok {
		t.Errorf("tenant %d, %v in a catalog without tenants", n, ok)
	}
	if n, ok := open.Class("c"); n != 2 || !ok {
		t.Errorf("class %d, %v, want 2", n, ok)
	}
	if got := open.MaxDeadline(); got != 30 {
		t.Errorf("longest deadline %v, want 30", got)
	}
	closed, err := NewCatalog(rules, []string{"a", "b", "c"}, []string{"t"})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := closed.Tenant("anybody"); ok {
		t.Error("an unknown tenant has a number")
	}
}
