//go:build !race

package run

const overload = "[limits]\ncores = 0.25\n[clients]\nretries = 0\n[[fault]]\nkind = \"surge\"\nat_s = 1\nfor_s = 1.5\nsize = 20\n"
