package sidecar

import (
	"firplank/internal/operators"
)

const (
	defaultSockets = 1024
	minSockets     = 32
	// reservedSockets are for listeners, discovery, the poller and the standard streams.
	reservedSockets = 24
	// rpcShare is the part of the sockets to servers, one in so many, that MessagePack-RPC may hold: its connections carry many
	// requests.
	rpcSocketsDivisor = 4
)

// connBudget is how many connections each protocol may hold on each side.
type connBudget struct{ servers, clients, rpcServers, rpcClients int }

// connBudget divides the descriptors that all processes of the sidecar have together, of which each process needs some for
// itself.
func (c *Config) connBudget(processes int) connBudget {
	reservedPerProcess := reservedSockets + c.Options.Receivers()
	if c.Admin != "" {
		reservedPerProcess += operators.MaxConsoleConnections
	}
	available := max(minSockets-reservedSockets, c.Limits.Sockets-processes*reservedPerProcess)
	budget := connBudget{servers: available / 2}
	budget.clients = available - budget.servers
	if c.Options.MsgpackRPC.Listen != "" {
		budget.rpcClients = min(c.Options.MsgpackRPC.Connections, budget.clients/2)
		budget.clients -= budget.rpcClients
	}
	if len(c.Options.MsgpackRPC.Flavors) > 0 {
		budget.rpcServers = max(1, budget.servers/rpcSocketsDivisor)
		budget.servers -= budget.rpcServers
	}
	return budget
}
