package numbers

import "testing"

// The checker accepts exactly the histories that a linearizable register can produce.
func TestCheck(t *testing.T) {
	put := func(number int, content string, invoked, returned int) Call {
		return Call{Number: number, Content: content, Invoked: invoked, Returned: returned}
	}
	refused := func(number int, content string, invoked, returned int) Call {
		return Call{Number: number, Content: content, Invoked: invoked, Returned: returned, Refused: true}
	}
	read := func(number int, content string, invoked, returned int) Call {
		return Call{Read: true, Number: number, Content: content, Invoked: invoked, Returned: returned}
	}
	for _, c := range []struct {
		name         string
		calls        []Call
		linearizable bool
	}{
		{"nothing was put", []Call{read(0, "", 1, 2)}, true},
		{"two contents at once, one refused", []Call{put(7, "x", 1, 5), refused(7, "y", 2, 4)}, true},
		{"two contents at once, both confirmed", []Call{put(7, "x", 1, 5), put(7, "y", 2, 4)}, false},
		{"two contents at once, both refused", []Call{refused(7, "x", 1, 5), refused(7, "y", 2, 4)}, false},
		{"refused before the other was sent", []Call{refused(7, "y", 1, 2), put(7, "x", 3, 4)}, false},
		{"refused for one without an answer", []Call{put(7, "x", 1, 0), refused(7, "y", 2, 3), put(7, "x", 4, 5)}, true},
		{"refused for one that is refused later", []Call{put(7, "x", 1, 0), refused(7, "y", 2, 3), refused(7, "x", 4, 5)}, false},
		{"confirmed again under a higher one", []Call{put(7, "x", 1, 2), put(9, "z", 3, 4), put(7, "x", 5, 6), read(9, "z", 7, 8)}, true},
		{"refused again under a higher one", []Call{put(7, "x", 1, 2), put(9, "z", 3, 4), refused(7, "x", 5, 6)}, false},
		{"lower and late, another content refused", []Call{put(9, "z", 1, 2), put(7, "x", 3, 4), refused(7, "y", 5, 6)}, true},
		{"lower and late, two contents", []Call{put(9, "z", 1, 2), put(7, "x", 3, 4), put(7, "y", 5, 6)}, false},
		{"a read goes back", []Call{put(7, "x", 1, 2), put(9, "z", 3, 0), read(9, "z", 4, 5), read(7, "x", 6, 7)}, false},
		{"a read sees one without an answer late", []Call{put(7, "x", 1, 2), put(9, "z", 3, 0), read(7, "x", 4, 5), read(9, "z", 6, 7)}, true},
		{"a read misses what was confirmed", []Call{put(7, "x", 1, 2), put(9, "z", 3, 4), read(7, "x", 5, 6)}, false},
		{"a read while it is confirmed", []Call{put(7, "x", 1, 2), put(9, "z", 3, 6), read(7, "x", 4, 5)}, true},
		{"a read of what was refused", []Call{put(7, "x", 1, 0), refused(7, "y", 2, 3), read(7, "y", 4, 5)}, false},
		{"all is lost", []Call{put(7, "x", 1, 2), read(0, "", 3, 4)}, false},
	} {
		if err := Check(c.calls); (err == nil) != c.linearizable {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
