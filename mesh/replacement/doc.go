// Package replacement decides on the members of the register: which member counts as lost, which machine succeeds it, and how a machine
// that shuts down hands over its membership. The durations of these steps are derived from the settings in timing.Replacement.
//
// The package has no I/O and no clock: the time and the observed state of the machines are arguments. Package register makes changes of
// members safe, so a wrong decision costs an unnecessary change but never a confirmed value. A member that was replaced although it was
// alive, as after a freeze of its process, becomes a stand-by with a full copy, and is the preferred successor of the next lost member.
//
// Start reading at Planner.Decide and Departure.Decide.
package replacement
