package numbers

import (
	"slices"

	"firplank/mesh/configversion"
	"firplank/mesh/register"
)

// Defect is a fault planted in the simulated environment. It acts like a bug of the register or its machine.
type Defect struct {
	Name               string
	Bounds             Bounds
	Seed               uint64 // seed of a history that shows the defect
	repliesBeforeSync  bool   // messages and responses are sent before the state is on disk
	confirmsOnFirstAck bool   // a put is confirmed once the first other disk has the value
	// answerLocally responds to a put from the local state of its machine, without a round of the protocol.
	answerLocally func(*register.Replica, request) (answer, bool)
	// alterMessage alters a message that a machine sends.
	alterMessage func(*register.Message)
	// alterOutcome alters an outcome. second is set if the machine has completed another operation at the same time.
	alterOutcome func(number int, o *register.Outcome, second bool)
}

// Defects are the planted defects that a search must find, each with bounds and the seed of a history in which it is found.
var Defects = []Defect{
	{Name: "what settles a put compares numbers, never contents", Bounds: TwoOperators, Seed: 1,
		alterOutcome: func(number int, o *register.Outcome, _ bool) {
			if int(o.Value.Version) >= number {
				o.Result = register.Confirmed
			}
		}},
	{Name: "a put is refused when a higher number holds", Bounds: TwoOperators, Seed: 1,
		alterOutcome: func(number int, o *register.Outcome, _ bool) {
			if number > 0 && int(o.Value.Version) > number {
				o.Result = register.Conflict
			}
		}},
	{Name: "of two puts that wait at one machine both are confirmed", Bounds: DefaultBounds, Seed: 3,
		alterOutcome: func(_ int, o *register.Outcome, second bool) {
			if second {
				o.Result = register.Confirmed
			}
		}},
	{Name: "a proposer carries on the accepted number's content alone", Bounds: TwoOperators, Seed: 1,
		alterMessage: func(m *register.Message) { truncateHistory(m, 1, register.Accept, register.Commit) }},
	{Name: "the history is cut to two numbers", Bounds: DefaultBounds, Seed: 6, alterMessage: func(m *register.Message) {
		truncateHistory(m, 2, register.Accept, register.Commit, register.Promise, register.ReadReply)
	}},
	{Name: "a full history forgets the highest number", Bounds: FullHistory, Seed: 3, alterMessage: func(m *register.Message) {
		if m.Value != nil && m.Kind == register.Accept && len(m.Value.History.Records) == register.MaxRecords {
			v := *m.Value
			v.History.Records = v.History.Records[:register.MaxRecords-1]
			m.Value = &v
		}
	}},
	{Name: "a promise tells no history", Bounds: TwoOperators, Seed: 14,
		alterMessage: func(m *register.Message) { truncateHistory(m, 0, register.Promise) }},
	{Name: "a change of members forgets the history", Bounds: DefaultBounds, Seed: 40, alterMessage: func(m *register.Message) {
		if m.Value != nil && len(m.Value.PriorMembers) > 0 {
			truncateHistory(m, 0, register.Accept)
		}
	}},
	{Name: "a machine that rejoins forgets the history", Bounds: DefaultBounds, Seed: 5,
		alterMessage: func(m *register.Message) { truncateHistory(m, 0, register.RejoinReply) }},
	{Name: "a conflict is answered from the machine's own disk", Bounds: TwoOperators, Seed: 3016,
		answerLocally: func(r *register.Replica, put request) (answer, bool) {
			v := r.State().Value
			recorded := v.History.StateOf(configversion.Version(put.number), register.ContentOf([]byte(put.content)))
			return answer{refused: true}, recorded == register.RecordedDifferent
		}},
	{Name: "a put is confirmed from the machine's own disk", Bounds: TwoOperators, Seed: 385,
		answerLocally: func(r *register.Replica, put request) (answer, bool) {
			v := r.State().Value
			recorded := v.History.StateOf(configversion.Version(put.number), register.ContentOf([]byte(put.content)))
			return answer{}, recorded == register.RecordedSame
		}},
	{Name: "a lower number is confirmed and not remembered", Bounds: TwoOperators, Seed: 2,
		answerLocally: func(r *register.Replica, put request) (answer, bool) {
			v, _, ok := r.Committed()
			_, taken := v.History.Find(configversion.Version(put.number))
			return answer{}, ok && !taken && configversion.Version(put.number) < v.Version
		}},
	{Name: "a put is confirmed by the first other disk", Bounds: TwoOperators, Seed: 1, confirmsOnFirstAck: true},
	{Name: "answers leave before the disk has synced", Bounds: ManyFaults, Seed: 2184, repliesBeforeSync: true},
}

// truncateHistory limits the history in a message's value to the given count of highest numbers, if the message is of one of the kinds.
func truncateHistory(m *register.Message, numbers int, kinds ...register.Kind) {
	if m.Value == nil || !slices.Contains(kinds, m.Kind) {
		return
	}
	v := *m.Value
	v.History.Records = v.History.Records[max(0, len(v.History.Records)-numbers):]
	m.Value = &v
}
