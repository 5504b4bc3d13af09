package mesh

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// operatorPatience is how long an operator waits for the answer to a call.
const operatorTimeout = 4 * time.Second

// RolloutOrder is an order of a rollout, in the users' names.
type RolloutOrder struct {
	Service string  `json:"line"`
	Target  string  `json:"toEdition"`
	TermS   float64 `json:"overS"`
}

// StartRollout orders a rollout at a core machine.
func (x *Machine) StartRollout(o RolloutOrder) (status int, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return 0, err
	}
	status, _, err = x.mesh.call(http.MethodPost, fmt.Sprintf("http://%s:%d/Rollouts.Start", x.IP, basePort+6), nil, body, operatorTimeout)
	return status, err
}

// ReadRollout reads the condition of a service's rollout at a core machine; empty: it is not known there now.
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
