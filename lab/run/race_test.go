//go:build race

package run

// rush is a load that is several times what a sidecar can carry, and that it can still turn away: the race detector
// makes both some ten times dearer.
const overload = "[limits]\ncores = 0.25\n[clients]\nretries = 0\n[[fault]]\nkind = \"surge\"\nat_s = 1\nfor_s = 1.5\nsize = 12\n"
