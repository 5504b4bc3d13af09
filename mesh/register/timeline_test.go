package register

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"firplank/lab/timeline"
	"firplank/mesh/configversion"
)

// linkDelay is how long a message takes between two replicas of a cluster.
const linkDelay = 2 * time.Millisecond

// cluster runs replicas over links with a delay and disks that sync at once.
type cluster struct {
	names             []string
	members           []string
	replicas          []*Replica // nil: down
	disks             []*State
	starts            int
	disconnected      map[int]bool
	inFlight          []delivery
	log               []string
	lastID            uint64
	lastReplaceID     uint64            // of the operation of the last "replace" cell
	pendingOperations map[uint64]string // descriptions of operations without an outcome
}

// resultSuffixes are added in the log to operations with these results.
var resultSuffixes = map[Result]string{Conflict: " conflicts"}

type delivery struct {
	arrivesAt time.Duration
	message   Message
}

func newCluster(names []string) *cluster {
	return &cluster{
		names:             names,
		members:           []string{"a", "b", "c"},
		replicas:          make([]*Replica, len(names)),
		disks:             make([]*State, len(names)),
		disconnected:      map[int]bool{},
		pendingOperations: map[uint64]string{},
	}
}

func (c *cluster) logf(now time.Duration, format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%5.2f  ", now.Seconds())+fmt.Sprintf(format, args...))
}

// handle passes an event to a replica, and processes its output.
func (c *cluster) handle(now time.Duration, i int, event Event) {
	output := c.replicas[i].Handle(now, event)
	if output.State != nil {
		if c.rejoined(i, output.State) {
			c.logf(now, "%s has rejoined, in incarnation %d", c.names[i], output.State.Incarnation)
		}
		c.disks[i] = output.State
	}
	for _, m := range output.Messages {
		c.inFlight = append(c.inFlight, delivery{now + linkDelay, m})
	}
	for _, o := range output.Outcomes {
		if operation, ok := c.pendingOperations[o.ID]; ok {
			c.logf(now, "%s: %s, version %s %s", c.names[i], operation+resultSuffixes[o.Result], versionText(o.Value.Version), o.Value.Body)
			delete(c.pendingOperations, o.ID)
		}
	}
}

// rejoined reports whether a state makes a machine whose disk was empty a voter.
func (c *cluster) rejoined(i int, state *State) bool {
	if c.disks[i] == nil {
		return state.Incarnation > 0
	}
	return !c.disks[i].Voter && state.Voter
}

// startOperation starts an operation on a replica, and returns its ID.
func (c *cluster) startOperation(now time.Duration, i int, description string, operation func(id uint64) Event) uint64 {
	c.lastID++
	id := c.lastID
	c.pendingOperations[id] = description
	c.handle(now, i, operation(id))
	return id
}

// step delivers the messages that have arrived, and ticks the replicas that are due.
func (c *cluster) step(now time.Duration) {
	inFlight := c.inFlight
	c.inFlight = nil
	for _, d := range inFlight {
		from, to := slices.Index(c.names, d.message.From), slices.Index(c.names, d.message.To)
		switch {
		case d.arrivesAt > now:
			c.inFlight = append(c.inFlight, d)
		case c.replicas[to] == nil || c.disconnected[from] != c.disconnected[to]:
		default:
			c.handle(now, to, MessageReceived{d.message})
		}
	}
	for i, r := range c.replicas {
		if r != nil && now >= r.NextTick() {
			c.handle(now, i, Tick{})
		}
	}
}

// runCell executes a cell of a timeline.
func (c *cluster) runCell(now time.Duration, i int, cell string) {
	verb, argument, _ := strings.Cut(cell, ":")
	switch verb {
	case "first", "up":
		c.starts++
		c.replicas[i] = New(c.names[i], c.members, verb == "first", c.disks[i], uint64(i+c.starts*100))
		if state := c.replicas[i].State(); verb == "first" {
			c.disks[i] = &state
		}
	case "kill":
		c.replicas[i] = nil
	case "wipe":
		c.replicas[i], c.disks[i] = nil, nil
	case "cut":
		c.disconnected[i] = true
	case "heal":
		delete(c.disconnected, i)
	case "show":
		state := c.replicas[i].State()
		c.logf(now, "%s has version %s on disk, members %v, prior %v", c.names[i], versionText(state.Value.Version), state.Value.Members,
			state.Value.PriorMembers)
	default:
		c.runOperationCell(now, i, verb, argument)
	}
}

// versionText returns the number of a version in a timeline's log.
func versionText(v configversion.Version) string {
	if v == configversion.None {
		return "none"
	}
	return strconv.FormatUint(uint64(v.Number()), 10)
}

// runOperationCell executes a cell that starts an operation.
func (c *cluster) runOperationCell(now time.Duration, i int, verb, argument string) {
	switch verb {
	case "put": // version=body
		version, body, _ := strings.Cut(argument, "=")
		number, _ := strconv.Atoi(version)
		c.startOperation(now, i, "put "+argument, func(id uint64) Event {
			return Put{ID: id, Version: configversion.Of(uint32(number)), Content: ContentOf([]byte(body)), Body: []byte(body)}
		})
	case "read":
		c.startOperation(now, i, "read", func(id uint64) Event { return LinearizableRead{id} })
	case "replicate":
		c.startOperation(now, i, "replicate", func(id uint64) Event { return ReplicateWithoutSelf{id} })
	case "replace": // expected members, then new ones; cancels the last "replace"
		expected, members, _ := strings.Cut(argument, ">")
		c.replicas[i].Cancel(c.lastReplaceID)
		c.lastReplaceID = c.startOperation(now, i, "replace "+argument, func(id uint64) Event {
			return ChangeMembers{ID: id, Members: strings.Split(members, ","), ExpectedMembers: strings.Split(expected, ",")}
		})
	case "change":
		c.startOperation(now, i, "change "+argument, func(id uint64) Event {
			return ChangeMembers{ID: id, Members: strings.Split(argument, ",")}
		})
	}
}

func TestTimelines(t *testing.T) {
	datadriven.RunTest(t, "testdata/timelines", func(t *testing.T, d *datadriven.TestData) string {
		drawing, err := timeline.Parse(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		c := newCluster(drawing.Columns)
		drawing.Run(time.Millisecond, c.step, c.runCell)
		for id := uint64(1); id <= c.lastID; id++ {
			if operation, ok := c.pendingOperations[id]; ok {
				c.log = append(c.log, "no answer: "+operation)
			}
		}
		return strings.Join(c.log, "\n") + "\n"
	})
}
