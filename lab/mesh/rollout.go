package mesh

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// operatorTimeout is how long an operator waits for the response to a call.
const operatorTimeout = 4 * time.Second

// RolloutOrder is an operator's request for a rollout, in the names of the operators' API.
type RolloutOrder struct {
	Service string  `json:"line"`
	Target  string  `json:"toEdition"`
	TermS   float64 `json:"overS"`
}

// StartRollout requests a rollout from a core machine.
func (x *Machine) StartRollout(o RolloutOrder) (status int, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return 0, err
	}
	status, _, err = x.mesh.call(http.MethodPost, fmt.Sprintf("http://%s:%d/Rollouts.Start", x.IP, basePort+6), nil, body, operatorTimeout)
	return status, err
}

// ReadRollout returns the condition of a service's rollout as a core machine reports it, or an empty string if that fails.
func (x *Machine) ReadRollout(service string) (condition string) {
	status, body, err := x.mesh.call(http.MethodGet, fmt.Sprintf("http://%s:%d/Rollouts.Read/%s", x.IP, basePort+6, service), nil, nil,
		operatorTimeout)
	var answer struct {
		Condition string `json:"condition"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.Condition
}
