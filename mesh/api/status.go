package api

// StatusPath is the path of the call for ControlStatus, by GET on a control machine's control address.
const StatusPath = "/Control.Status"

// Paths of the calls for rollouts. ReadRolloutPath and RecallRolloutPath are followed by a slash and the name of a service.
const (
	StartRolloutPath  = "/Rollouts.Start"
	ReadRolloutPath   = "/Rollouts.Read"
	RecallRolloutPath = "/Rollouts.Recall"
)

// ControlStatus is one control machine's view of the control plane. The machine responds without contact to the others, whose view may
// differ.
type ControlStatus struct {
	// Self is the address of the machine that responds.
	Self string `json:"self"`
	// Members are the members of the register.
	Members []string `json:"members"`
	// PreviousMembers are set while a change of members is in progress: a quorum needs a majority of these as well.
	PreviousMembers []string `json:"membersBefore,omitempty"`
	// Version is the newest version that the machine knows to be on a majority of disks; nil: it knows of none.
	Version *uint32 `json:"version"`
	// Ballot is the ballot at which that version was accepted.
	Ballot string `json:"ballot"`
	// LeaseHolder is the machine that replaces lost members; empty: none is known.
	LeaseHolder string `json:"leaseHolder"`
	// FullyReplicated means that every member has the newest value on its disk.
	FullyReplicated bool `json:"fullCopies"`
	// Conflicts are the names of the timing rules that the deployment's settings violate (timing.Inequalities).
	Conflicts []string `json:"conflicts,omitempty"`
	// Rollouts are the newest rollouts of services.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Machines are all control machines, members or not.
	Machines []ControlMachine `json:"machines"`
}

// Rollout is a control machine's view of the newest rollout of a service.
type Rollout struct {
	Service string  `json:"service"`
	Target  string  `json:"target"`
	Order   uint32  `json:"order"`
	Stage   string  `json:"stage"`
	TermS   float64 `json:"termS"`
	// Reason is why the rollout is at its stage, and DecidedBy the machine that decided on it.
	Reason    string `json:"reason,omitempty"`
	DecidedBy string `json:"decidedBy,omitempty"`
	// Evidence is the machine's last verdict on the requests to both versions.
	Evidence string `json:"evidence,omitempty"`
	// WaitsFor is what the machine waits for before it advances a rollout in progress.
	WaitsFor string `json:"waitsFor,omitempty"`
	// Unconfirmed is the number of sidecars that have not confirmed the current stage.
	Unconfirmed int `json:"unconfirmed"`
}

// ControlMachine is one control machine, as described by its hello messages to the machine that responds.
type ControlMachine struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Member means that it is a member of the register.
	Member bool `json:"member"`
	// Voter means that its votes count, as its disk has all promises and votes that it ever sent.
	Voter bool `json:"voter"`
	// Connected means that there is a connection to it.
	Connected bool `json:"linked"`
	// LastSeenS is how long ago, in seconds, it was last seen; below 0: never.
	LastSeenS float64 `json:"heardS"`
	// Leaving means that it is shutting down.
	Leaving bool `json:"leaving"`
	// DiskFails means that its disk stalls or writes to it fail.
	DiskFails bool `json:"diskFails"`
	// Ballot is the ballot of the newest value on its disk.
	Ballot string `json:"ballot"`
	// UpToDate means that this is the newest committed value or a later one.
	UpToDate bool `json:"copied"`
}
