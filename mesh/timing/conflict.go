package timing

import "time"

// tooFewControlMachines is the name of the conflict of a tolerance with the number of control machines.
const tooFewControlMachines = "tolerance_within_machines"

// MissingMachines returns how many control machines a deployment lacks for its tolerance, where so many are known: none of those may be
// lost for good that are tolerated to be, if fewer than twice the tolerance and one store the configuration.
func MissingMachines(tolerance, known int) int { return max(0, 2*tolerance+1-known) }

// MachinesConflict names the conflict of a tolerance with the number of control machines, for logs and the status. Its sides are numbers of
// machines.
func MachinesConflict(tolerance, known int) Conflict {
	return Conflict{
		Name:     tooFewControlMachines,
		Rule:     "CONFIG, LOST",
		Settings: "tolerance",
		Claim:    "as many control machines as the tolerance needs are there",
		Needed:   2*tolerance + 1,
		Found:    known,
	}
}

// Conflict is something that a deployment's settings ask for and that cannot be kept.
type Conflict struct {
	// Name, Rule, Settings and Claim are those of an Inequality.
	Name, Rule, Settings, Claim string
	// Needed and Found are numbers of machines; 0 where Value and Limit are the sides.
	Needed, Found int
	// Value is above Limit.
	Value, Limit time.Duration
}

// LogLine returns the conflict as keys and values of a log line.
func (c Conflict) LogLine() []any {
	line := []any{"msg", "settings cannot be kept: the nearest values are served", "name", c.Name, "settings", c.Settings, "rule", c.Rule,
		"claim", c.Claim}
	if c.Needed > 0 {
		return append(line, "machines", c.Found, "needed", c.Needed)
	}
	return append(line, "value", c.Value, "limit", c.Limit)
}

// conflict returns an inequality that is not kept as a Conflict.
func (i Inequality) conflict() Conflict {
	return Conflict{Name: i.Name, Rule: i.Rule, Settings: i.Settings, Claim: i.Claim, Value: i.Value, Limit: i.Limit}
}
