package scenario

// This file says which faults there are, and whom they strike.

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Fault is something that goes wrong at a time.
type Fault struct {
	AtS     float64 `toml:"at_s"`
	ForS    float64 `toml:"for_s"` // 0: it does not end by itself
	Kind    string  `toml:"kind"`
	Target  string  `toml:"target"`
	Size    float64 `toml:"size"`
	Share   float64 `toml:"share"`
	Form    string  `toml:"form"`
	DelayMS float64 `toml:"delay_ms"`

	From   string `toml:"from"` // of links: sidecars, as in "0-3", "0,2,5" or "all"
	To     string `toml:"to"`
	OneWay bool   `toml:"one_way"` // only from those to these
}

// Subject is what a kind of fault strikes.
type Subject int

// The subjects.
const (
	SubjectServers Subject = iota
	SubjectSidecars
	SubjectRoster
	SubjectClients
	SubjectLinks
)

// Kinds lists what can go wrong: whom it strikes, and what the fault's figures mean.
var kinds = map[string]struct {
	subject Subject
	needs   string // of size, share, for_s, form
	About   string
}{
	"slow":         {SubjectServers, "size", "work takes size times as long"},
	"crash":        {SubjectServers, "", "connections are reset and new ones refused; after for_s it starts again, cold, under its id"},
	"replace":      {SubjectServers, "", "it crashes and a new server with a new id starts at its address"},
	"silent":       {SubjectServers, "for_s", "its machine says nothing, and resets what is open when it is back"},
	"drain":        {SubjectServers, "for_s", "it drains for for_s and is then gone"},
	"leave_return": {SubjectServers, "for_s", "it is gone from the roster for for_s and comes back under its id, started anew"},
	"error":        {SubjectServers, "share", "a share of the answers is 500 after the work"},
	"spoil":        {SubjectServers, "share form", "a share of the answers comes spoilt"},
	"late_reports": {SubjectServers, "size", "load reports are size seconds older"},
	"grow":         {SubjectServers, "size", "size new servers start, cold"},
	"cut":          {SubjectServers, "for_s", "the links from sidecar number size (from 0) to the servers are silent both ways"},
	"kill":         {SubjectSidecars, "", "SIGKILL; started again after for_s"},
	"stop":         {SubjectSidecars, "for_s", "SIGSTOP, and SIGCONT after for_s"},
	"term":         {SubjectSidecars, "", "SIGTERM; started again when it has ended"},
	"hup":          {SubjectSidecars, "", "SIGHUP"},
	"link_cut":     {SubjectLinks, "for_s", "datagrams between sidecars of from and to are lost, with one_way in that direction alone"},
	"link_slow":    {SubjectLinks, "size for_s", "they come up to 2 × size seconds late, and overtake one another"},
	"link_loss":    {SubjectLinks, "share for_s", "a share is lost, and as many come twice"},
	"link_garbage": {SubjectLinks, "size for_s",
		"size datagrams a second that mean nothing reach each sidecar of to, some of them from its peers' addresses"},
	"roster_down":    {SubjectRoster, "for_s", "calls are reset and watches end"},
	"roster_slow":    {SubjectRoster, "size", "answers come size seconds later"},
	"roster_restart": {SubjectRoster, "", "it comes back with a lower revision"},
	"roster_break":   {SubjectRoster, "share for_s", "a share of the answers breaks off: by an end, a reset, or by stopping in the middle"},
	"roster_mute":    {SubjectRoster, "", "all watches that are open fall silent, on connections that stay open"},
	"roster_busy":    {SubjectRoster, "share size for_s", "a share of the calls is turned away after size seconds"},
	"roster_garble":  {SubjectRoster, "for_s", "it answers with what is no list"},
	"surge":          {SubjectClients, "size for_s", "arrivals are multiplied by size, or with target tenant:NAME those of one tenant"},
	"recontract":     {SubjectSidecars, "size", "the budget of tenant:NAME is multiplied by size, and all sidecars get SIGHUP"},
	"rush":           {SubjectClients, "for_s", "every held connection sends one request, at even times over for_s"},
	"flood":          {SubjectClients, "size for_s", "size connections are kept open that say nothing or send what is no request"},
}

// forms of spoilt answers.
var forms = map[string]bool{
	"noise": true, "endless_head": true, "short_length": true, "long_length": true, "huge_length": true,
	"second_copy": true, "pieces": true, "cut_off": true, "interim": true, "bad_report": true,
	"wrong_id": true, // MessagePack-RPC only: another id than any that is out, ahead of the answer
}

// Kinds returns the names of the faults, sorted, with what each does.
func Kinds() (names []string, about map[string]string) {
	about = map[string]string{}
	for k, v := range kinds {
		names = append(names, k)
		about[k] = v.About
	}
	sort.Strings(names)
	return names, about
}

// Subject returns whom the fault strikes.
func (f *Fault) Subject() Subject { return kinds[f.Kind].subject }

// Tenant is whom a surge or a change of contract is about; empty: all.
func (f *Fault) Tenant() string {
	if t, err := parseTarget(f.Target); err == nil && t.scope == "tenant" {
		return t.value
	}
	return ""
}

// At returns when the fault begins, from the start of the day.
func (f *Fault) At() time.Duration { return secondsDuration(f.AtS) }

// For returns how long the fault lasts.
func (f *Fault) For() time.Duration { return secondsDuration(f.ForS) }

func (f *Fault) check() error {
	k, ok := kinds[f.Kind]
	if !ok {
		names, _ := Kinds()
		return fmt.Errorf("unknown kind %q: there are %s", f.Kind, strings.Join(names, ", "))
	}
	if f.AtS < 0 || f.ForS < 0 || f.DelayMS < 0 {
		return fmt.Errorf("%s: a time below 0", f.Kind)
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

// Group reads a group of sidecars, of which there are n: "all", numbers and ranges. Those beyond n are left out.
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
