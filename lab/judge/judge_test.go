package judge

import (
	"testing"
	"time"
)

const (
	safe = iota
	keyed
	keyedCell
	unsafe
)

func newTestJudge() *Judge {
	return New(Config{
		Classes: []Class{
			{Effect: "safe"}, {Effect: "keyed", Group: "all", Window: time.Second},
			{Effect: "keyed", Group: "cell", Window: time.Second}, {Effect: "unsafe"},
		},
		Slack: 50 * time.Millisecond, DrainGrace: 300 * time.Millisecond, NotifiedAfter: 6 * time.Second, ArrivalSlack: 50 * time.Millisecond,
	})
}

const ms = time.Millisecond

// sent records a request of a class that is sent at 0 with a deadline of one second.
func sent(j *Judge, class int) {
	j.Sent(Try{Trace: "t", Class: class, Key: "k", Deadline: time.Second})
}

// ranOn records that a server received, ran and finished the request.
func ranOn(j *Judge, server string, at time.Duration) {
	j.Received("t", server, 0, at)
	j.Ran("t", server, 0, at)
	j.Finished("t")
}

// cases are event sequences of faulty and correct sidecars, with the one rule that each breaks.
var cases = []struct {
	name string
	want Rule // "" for none
	play func(*Judge)
}{
	{"served once in time", "", func(j *Judge) {
		sent(j, unsafe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"no response", Lost, func(j *Judge) { sent(j, safe) }},
	{"a response after the deadline and its slack", Lost, func(j *Judge) {
		sent(j, safe)
		j.Answered("t", 1051*ms, Failed, "")
	}},
	{"a response within the slack", "", func(j *Judge) {
		sent(j, safe)
		j.Answered("t", 1049*ms, Failed, "")
	}},
	{"the connection ends", Lost, func(j *Judge) {
		sent(j, safe)
		j.Answered("t", 100*ms, Broken, "")
	}},
	{"two responses", Lost, func(j *Judge) {
		sent(j, safe)
		j.Answered("t", 100*ms, Failed, "")
		j.Answered("t", 101*ms, Failed, "")
	}},
	{"bytes after the response", Lost, func(j *Judge) {
		sent(j, safe)
		j.Answered("t", 100*ms, Failed, "")
		j.ExtraData("t", 200*ms)
	}},
	{"the client left", "", func(j *Judge) {
		sent(j, safe)
		j.ClientGone("t", 10*ms)
	}},
	{"the sidecar was killed while it held the request", "", func(j *Judge) {
		sent(j, safe)
		j.SidecarDown(0, 50*ms)
		j.Answered("t", 52*ms, Broken, "")
		j.SidecarUp(0, 900*ms)
	}},
	{"another sidecar was killed", Lost, func(j *Judge) {
		sent(j, safe)
		j.SidecarDown(1, 50*ms)
		j.Answered("t", 52*ms, Broken, "")
	}},
	{"the sidecar was killed long after the connection broke", Lost, func(j *Judge) {
		sent(j, safe)
		j.Answered("t", 52*ms, Broken, "")
		j.SidecarDown(0, 500*ms)
	}},
	{"an unsafe request runs twice", Twice, func(j *Judge) {
		sent(j, unsafe)
		ranOn(j, "a", 10*ms)
		ranOn(j, "b", 20*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"a keyed request runs twice because its repeat went to another cell", Twice, func(j *Judge) {
		sent(j, keyedCell)
		ranOn(j, "a", 10*ms)
		ranOn(j, "b", 20*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"a safe request runs twice", "", func(j *Judge) {
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		ranOn(j, "b", 20*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"an unsafe request that has run is refused", Twice, func(j *Judge) {
		sent(j, unsafe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Refused, "")
	}},
	{"a request whose key only its cell holds is refused after it has run", Twice, func(j *Judge) {
		sent(j, keyedCell)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Refused, "")
	}},
	{"a request whose key every server holds is refused after it has run", "", func(j *Judge) {
		sent(j, keyed)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Refused, "")
	}},
	{"sent to a draining server after the grace period", Drain, func(j *Judge) {
		j.Changed("a", false, -350*ms)
		j.Notified(0, "a", false, -350*ms)
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"sent to a draining server within the grace period", "", func(j *Judge) {
		j.Notified(0, "a", false, -250*ms)
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"sent to a server that is ready again after a drain", "", func(j *Judge) {
		j.Notified(0, "a", false, -5*time.Second)
		j.Notified(0, "a", true, 0)
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"only another sidecar was notified of the drain", "", func(j *Judge) {
		j.Notified(1, "a", false, -5*time.Second)
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"a sidecar that never polls counts as notified", Drain, func(j *Judge) {
		j.Changed("a", false, -7*time.Second)
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"a cold server falls over", PushedOver, func(j *Judge) { j.PushedOver("a", 10*ms) }},
	{"a response made for another request", Foreign, func(j *Judge) {
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "u")
	}},
	{"a response that no server made", Foreign, func(j *Judge) {
		sent(j, safe)
		j.Received("t", "a", 0, 10*ms)
		j.Answered("t", 50*ms, Served, "t")
	}},
	{"sent after the response", After, func(j *Judge) {
		sent(j, safe)
		ranOn(j, "a", 10*ms)
		j.Answered("t", 50*ms, Served, "t")
		j.Received("t", "b", 0, 101*ms)
	}},
	{"sent after the client's deadline", After, func(j *Judge) {
		sent(j, safe)
		j.Answered("t", 1010*ms, Failed, "")
		j.Received("t", "b", 0, 1101*ms)
	}},
}

// Each case breaks its rule and no other.
func TestJudgeReportsOnlyTheBrokenRule(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := newTestJudge()
			c.play(j)
			v := j.Close(10 * time.Second)
			for _, r := range Rules {
				if broken := v.Counts[r] > 0; broken != (r == c.want) {
					t.Errorf("rule %q: broken is %v; findings %v", r, broken, v.Findings)
				}
			}
			if v.Passed() != (c.want == "") {
				t.Errorf("passed is %v", v.Passed())
			}
		})
	}
}

// A request that is still open at the end of the run, before its deadline, must not count as lost.
func TestOpenRequestAtEndIsNotLost(t *testing.T) {
	j := newTestJudge()
	sent(j, safe)
	if v := j.Close(500 * ms); !v.Passed() {
		t.Errorf("findings %v", v.Findings)
	}
}

// The number of stored findings is bounded, the count is not.
func TestFindingsAreBounded(t *testing.T) {
	j := newTestJudge()
	for i := range 100 {
		j.PushedOver("a", time.Duration(i))
	}
	if v := j.Close(time.Second); len(v.Findings) != MaxFindings || v.Counts[PushedOver] != 100 {
		t.Errorf("%d findings stored, %d counted", len(v.Findings), v.Counts[PushedOver])
	}
}
