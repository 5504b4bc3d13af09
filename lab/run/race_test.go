//go:build race

package run

// overload is a load that is several times a sidecar's capacity, but that it can still reject. The race detector makes both
// serving and rejecting about ten times more expensive, so the surge is smaller than without it.
const overload = "[limits]\ncores = 0.25\n[clients]\nretries = 0\n[[fault]]\nkind = \"surge\"\nat_s = 1\nfor_s = 1.5\nsize = 12\n"
