package explain

// logEvent is the event that a log line reports.
type logEvent int

// The events.
const (
	sidecarStarted logEvent = iota + 1
	controlMachineStarted
	sidecarShutdown
	serverHealthChanged
	requestFailed
	sidecarLost
	parentStale
	membersReplaced
	stateWriteFailed
	stateUnusable
	settingsRejected
	configRejected
	configCommitted
)

// eventsByMessage maps log messages to events. During an upgrade, logs contain the messages of two releases. When a message is reworded,
// its new wording is therefore added here and the old one remains. TestEventsAreLogged checks that the programs still log each event.
var eventsByMessage = map[string]logEvent{
	"sidecar started":                                                   sidecarStarted,
	"the sidecar is up":                                                 sidecarStarted, // until 5126712
	"control machine started":                                           controlMachineStarted,
	"the core machine is up":                                            controlMachineStarted, // until 5126712
	"sidecar shutdown begins":                                           sidecarShutdown,
	"the sidecar ends":                                                  sidecarShutdown, // until 5126712
	"server health changed":                                             serverHealthChanged,
	"the server is judged by its requests":                              serverHealthChanged, // until 5126712
	"request failed without response":                                   requestFailed,
	"a run has no answer":                                               requestFailed, // until 5126712
	"sidecar lost":                                                      sidecarLost,
	"a branch machine counts as lost by what others say":                sidecarLost, // until 5126712
	"parent stale: switching to another":                                parentStale,
	"the parent has nothing fresh":                                      parentStale, // until 5126712
	"member replaced":                                                   membersReplaced,
	"the core's members change":                                         membersReplaced, // until 5126712
	"write of the register's state failed":                              stateWriteFailed,
	"the disk does not take the register":                               stateWriteFailed, // until 5126712
	"no usable state on disk: the replica rejoins":                      stateUnusable,
	"the register is read from the others":                              stateUnusable, // until 5126712
	"the register on disk is damaged, and is read anew from the others": stateUnusable, // of earlier releases, without fields
	"settings invalid: the present ones stay in force":                  settingsRejected,
	"the settings cannot be used, and the old ones hold":                settingsRejected, // until 5126712
	"configuration invalid: the present one stays in force":             configRejected,
	"a configuration cannot be used":                                    configRejected, // until 5126712
	"configuration committed":                                           configCommitted,
	"a configuration is in force":                                       configCommitted, // until 5126712
}
