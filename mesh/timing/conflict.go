package timing

import "time"

// tooFewControlMachines is the name of the conflict between a tolerance and the number of control machines.
const tooFewControlMachines = "tolerance_within_machines"

// MissingMachines returns how many more control machines a deployment needs for its tolerance than the known ones. It needs twice the
// tolerance plus one: with fewer machines that store the configuration, a majority does not survive the permanent loss of as many machines
// as the tolerance allows.
func MissingMachines(tolerance, known int) int { return max(0, 2*tolerance+1-known) }

// MachinesConflict returns the conflict between a tolerance and the number of known control machines, for logs and the status.
func MachinesConflict(tolerance, known int) Conflict {
	return Conflict{
		Name:     tooFewControlMachines,
		Rule:     "CONFIG, LOST",
		Settings: "tolerance",
		Claim:    "there are as many control machines as the tolerance needs",
		Needed:   2*tolerance + 1,
		Found:    known,
	}
}

// Conflict is a requirement that a deployment's settings imply and that cannot be met.
type Conflict struct {
	// Name, Rule, Settings and Claim are as in Inequality.
	Name, Rule, Settings, Claim string
	// Needed and Found are numbers of machines. Both are 0 in a conflict between durations.
	Needed, Found int
	// Value is the duration that exceeds Limit. Both are 0 in a conflict between numbers of machines.
	Value, Limit time.Duration
}

// LogLine returns the conflict as the keys and values of a log line.
func (c Conflict) LogLine() []any {
	line := []any{"msg", "settings cannot be kept: the nearest values are served", "name", c.Name, "settings", c.Settings, "rule", c.Rule,
		"claim", c.Claim}
	if c.Needed > 0 {
		return append(line, "machines", c.Found, "needed", c.Needed)
	}
	return append(line, "value", c.Value, "limit", c.Limit)
}

// conflict returns the Conflict that reports a violated inequality.
func (i Inequality) conflict() Conflict {
	return Conflict{Name: i.Name, Rule: i.Rule, Settings: i.Settings, Claim: i.Claim, Value: i.Value, Limit: i.Limit}
}
