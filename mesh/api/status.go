package api

// StatusPath is the path of the call for ControlStatus, by GET on a control machine's control address.
const StatusPath = "/Control.Status"

// Paths of the calls for rollouts. Those of ReadRolloutPath and RecallRolloutPath go on with a slash and the name of a service.
const (
	StartRolloutPath  = "/Rollouts.Start"
	ReadRolloutPath   = "/Rollouts.Read"
	RecallRolloutPath = "/Rollouts.Recall"
)

// ControlStatus is the control plane as one control machine sees it. It answers without contact to the others, whose view may differ.
type ControlStatus struct {
	// Self is the address of the machine that answers.
	Self string `json:"self"`
	// Members are the members of the register.
	Members []string `json:"members"`
	// PreviousMembers are set while a change of members is not complete: a quorum needs a majority of these as well.
	PreviousMembers []string `json:"membersBefore,omitempty"`
	// Version is the newest configuration that the machine has seen on a majority of disks.
	Version uint32 `json:"version"`
	// Ballot is the ballot at which it was accepted.
	Ballot string `json:"ballot"`
	// LeaseHolder is the machine that replaces lost members, in the machine's view; empty: none.
	LeaseHolder string `json:"leaseHolder"`
	// FullyReplicated: every member has the newest value on its disk, in the machine's view.
	FullyReplicated bool `json:"fullCopies"`
	// Conflicts name what the deployment's settings ask for and cannot be kept (timing.Inequalities).
	Conflicts []string `json:"conflicts,omitempty"`
	// Rollouts are the newest rollouts of services.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Machines are all control machines, members or not.
	Machines []ControlMachine `json:"machines"`
}

// Rollout is the newest rollout of a service, as a control machine sees it.
type Rollout struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	Order   uint32  `json:"order"`
	Stage   string  `json:"stage"`
	TermS   float64 `json:"termS"`
	// Reason is why the rollout is at its stage, and DecidedBy the machine that decided on it.
	Reason    string `json:"reason,omitempty"`
	DecidedBy string `json:"decidedBy,omitempty"`
	// Evidence is what this machine makes of the requests of both versions so far.
	Evidence string `json:"evidence,omitempty"`
	// WaitsFor is what it waits for at this machine, while it is under way.
	WaitsFor string `json:"waitsFor,omitempty"`
	// Unconfirmed are the sidecars that have not confirmed the present stage.
	Unconfirmed int `json:"unconfirmed"`
}

// ControlMachine is one control machine, as another sees it by its hello messages.
type ControlMachine struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Member: it is one of the register's members.
	Member bool `json:"member"`
	// Voter: its disk has all that it ever voted for, so that its votes count.
	Voter bool `json:"voter"`
	// Connected: a connection to it is up.
	Connected bool `json:"linked"`
	// LastSeenS is how long ago, in seconds, it was last seen; below 0: never.
	LastSeenS float64 `json:"heardS"`
	// Leaving: it is shutting down.
	Leaving bool `json:"leaving"`
	// DiskFails: its disk refuses writes.
	DiskFails bool `json:"diskFails"`
	// Ballot is that of the newest value on its disk.
	Ballot string `json:"ballot"`
	// UpToDate: that is the newest value.
	UpToDate bool `json:"copied"`
}
