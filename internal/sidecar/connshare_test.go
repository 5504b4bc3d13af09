package sidecar

import "testing"

func TestConnectionShare(t *testing.T) {
	for _, c := range []struct {
		name                     string
		own, others              int
		draining, othersDraining bool
		want                     int
	}{
		{"half of the free ones", 20, 30, false, false, 45},
		{"all free ones while the other drains", 20, 30, false, true, 70},
		{"no free ones while draining", 20, 30, true, false, 20},
		{"no free ones while both drain", 20, 30, true, true, 20},
		{"the minimum while the other holds all", 0, 100, false, false, minConnections},
		{"its own while more are open than the total", 60, 60, false, true, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := connectionShare(100, c.own, c.others, c.draining, c.othersDraining); got != c.want {
				t.Errorf("share is %d, want %d", got, c.want)
			}
		})
	}
}
