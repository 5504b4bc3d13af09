package scenario

// This file defines the kinds of faults and what they affect.

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Fault is a fault that is injected at a given time.
type Fault struct {
	AtS     float64 `toml:"at_s"`
	ForS    float64 `toml:"for_s"` // 0: the fault does not end by itself
	Kind    string  `toml:"kind"`
	Target  string  `toml:"target"`
	Size    float64 `toml:"size"`
	Share   float64 `toml:"share"`
	Form    string  `toml:"form"`
	DelayMS float64 `toml:"delay_ms"`

	From   string `toml:"from"` // for links: sending sidecars, as in "0-3", "0,2,5" or "all"
	To     string `toml:"to"`
	OneWay bool   `toml:"one_way"` // affects only the direction from From to To
}

// Subject is what a kind of fault affects.
type Subject int

// The subjects.
const (
	SubjectServers Subject = iota
	SubjectSidecars
	SubjectRoster
	SubjectClients
	SubjectLinks
)

// kinds lists the kinds of faults with what they affect, the required values and a description.
var kinds = map[string]struct {
	subject Subject
	needs   string // required values: size, share, for_s, form
	About   string
}{
	"slow":         {SubjectServers, "size", "work takes size times as long"},
	"crash":        {SubjectServers, "", "connections are reset and new ones refused; after for_s the server restarts, cold, under its id"},
	"replace":      {SubjectServers, "", "the server crashes and a new one with a new id starts at its address"},
	"silent":       {SubjectServers, "for_s", "the server's machine sends nothing, and resets open connections when it is back"},
	"drain":        {SubjectServers, "for_s", "the server drains for for_s and is then gone"},
	"leave_return": {SubjectServers, "for_s", "the server is gone from the roster for for_s and returns restarted under its id"},
	"error":        {SubjectServers, "share", "a share of the responses is 500 after the work"},
	"spoil":        {SubjectServers, "share form", "a share of the responses is corrupted in the given form"},
	"late_reports": {SubjectServers, "size", "load reports are delayed by size seconds"},
	"grow":         {SubjectServers, "size", "size new servers start cold"},
	"cut":          {SubjectServers, "for_s", "the links from sidecar number size (from 0) to the servers are silent both ways"},
	"kill":         {SubjectSidecars, "", "SIGKILL; restarted after for_s"},
	"stop":         {SubjectSidecars, "for_s", "SIGSTOP, and SIGCONT after for_s"},
	"term":         {SubjectSidecars, "", "SIGTERM; restarted when the process has ended"},
	"hup":          {SubjectSidecars, "", "SIGHUP"},
	"link_cut":     {SubjectLinks, "for_s", "datagrams between sidecars of from and to are lost, with one_way in that direction alone"},
	"link_slow":    {SubjectLinks, "size for_s", "datagrams are delayed by up to 2 × size seconds and reordered"},
	"link_loss":    {SubjectLinks, "share for_s", "a share of the datagrams is lost, and as many are duplicated"},
	"link_garbage": {SubjectLinks, "size for_s",
		"size malformed datagrams per second reach each sidecar of to, some of them from its peers' addresses"},
	"roster_down":    {SubjectRoster, "for_s", "calls are reset and watches end"},
	"roster_slow":    {SubjectRoster, "size", "responses are delayed by size seconds"},
	"roster_restart": {SubjectRoster, "", "the roster restarts with a lower revision"},
	"roster_break":   {SubjectRoster, "share for_s", "a share of the responses is truncated: by a close, a reset or a stall"},
	"roster_mute":    {SubjectRoster, "", "all open watches stop responding, on connections that stay open"},
	"roster_busy":    {SubjectRoster, "share size for_s", "a share of the calls is rejected after size seconds"},
	"roster_garble":  {SubjectRoster, "for_s", "responses are malformed lists"},
	"surge":          {SubjectClients, "size for_s", "arrivals are multiplied by size; with target tenant:NAME only those of that tenant"},
	"recontract":     {SubjectSidecars, "size", "the budget of tenant:NAME is multiplied by size, and all sidecars get SIGHUP"},
	"rush":           {SubjectClients, "for_s", "every held connection sends one request, evenly spread over for_s"},
	"flood":          {SubjectClients, "size for_s", "size connections are kept open that send nothing or malformed requests"},
}

// forms are the forms of corrupted responses.
var forms = map[string]bool{
	"noise": true, "endless_head": true, "short_length": true, "long_length": true, "huge_length": true,
	"second_copy": true, "pieces": true, "cut_off": true, "interim": true, "bad_report": true,
	"wrong_id": true, // MessagePack-RPC only: a response with an id that is not in use precedes the correct one
}

// Kinds returns the names of the kinds of faults, sorted, and their descriptions by name.
func Kinds() (names []string, about map[string]string) {
	about = map[string]string{}
	for k, v := range kinds {
		names = append(names, k)
		about[k] = v.About
	}
	sort.Strings(names)
	return names, about
}

// Subject returns what the fault affects.
func (f *Fault) Subject() Subject { return kinds[f.Kind].subject }

// Tenant returns the tenant that a surge or a change of contract affects; empty: all.
func (f *Fault) Tenant() string {
	if t, err := parseTarget(f.Target); err == nil && t.scope == "tenant" {
		return t.value
	}
	return ""
}

// At returns when the fault begins, from the start of the scenario.
func (f *Fault) At() time.Duration { return secondsDuration(f.AtS) }

// For returns the duration of the fault; 0: it does not end by itself.
func (f *Fault) For() time.Duration { return secondsDuration(f.ForS) }

func (f *Fault) check() error {
	k, ok := kinds[f.Kind]
	if !ok {
		names, _ := Kinds()
		return fmt.Errorf("unknown kind %q: there are %s", f.Kind, strings.Join(names, ", "))
	}
	if f.AtS < 0 || f.ForS < 0 || f.DelayMS < 0 {
		return fmt.Errorf("%s: at_s, for_s or delay_ms is negative", f.Kind)
	}
	for _, need := range strings.Fields(k.needs) {
		switch {
		case need == "size" && f.Size <= 0 && f.Kind != "cut",
			need == "share" && (f.Share <= 0 || f.Share > 1),
			need == "for_s" && f.ForS <= 0,
			need == "form" && !forms[f.Form]:
			return fmt.Errorf("%s: %s is missing or out of range", f.Kind, need)
		}
	}
	if k.subject == SubjectLinks {
		for _, group := range []string{f.From, f.To} {
			if _, err := Group(group, 1<<20); err != nil {
				return fmt.Errorf("%s: %w", f.Kind, err)
			}
		}
	}
	if k.subject == SubjectServers || k.subject == SubjectSidecars || f.Kind == "surge" {
		if _, err := parseTarget(f.Target); err != nil {
			return fmt.Errorf("%s: %w", f.Kind, err)
		}
	}
	return nil
}

// Group parses a group of sidecars: "all", or numbers and ranges. It leaves out numbers of n or more.
func Group(text string, n int) (all []int, err error) {
	if text == "all" {
		for i := range min(n, 1<<12) {
			all = append(all, i)
		}
		return all, nil
	}
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		a, err := strconv.Atoi(first)
		b := a
		if err == nil && isRange {
			b, err = strconv.Atoi(last)
		}
		if err != nil || a < 0 || b < a || b > 1<<12 {
			return nil, fmt.Errorf("group %q: want all, or numbers and ranges as in 0-3,7", text)
		}
		for i := a; i <= b && i < n; i++ {
			all = append(all, i)
		}
	}
	return all, nil
}
