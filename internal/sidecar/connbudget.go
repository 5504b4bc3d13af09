package sidecar

import (
	"firplank/internal/operators"
)

const (
	defaultSockets = 1024
	minSockets     = 32
	// reservedSockets is the number of descriptors kept for listeners, discovery, the poller and the standard streams.
	reservedSockets = 24
	// rpcSocketsDivisor limits MessagePack-RPC to a quarter of the sockets to servers: each of its connections carries many
	// requests.
	rpcSocketsDivisor = 4
)

// connBudget is the maximum number of connections to servers and clients, for HTTP and for MessagePack-RPC.
type connBudget struct{ servers, clients, rpcServers, rpcClients int }

// connBudget divides the descriptors that all processes of the sidecar may use together, less those reserved for each process.
func (c *Config) connBudget(processes int) connBudget {
	reservedPerProcess := reservedSockets + c.Options.ReceiverCount()
	if c.Admin != "" {
		reservedPerProcess += operators.MaxConsoleConnections
	}
	available := max(minSockets-reservedSockets, c.Limits.Sockets-processes*reservedPerProcess)
	budget := connBudget{servers: available / 2}
	budget.clients = available - budget.servers
	if c.Options.MsgpackRPC.Listen != "" {
		budget.rpcClients = min(c.Options.MsgpackRPC.MaxClientConns, budget.clients/2)
		budget.clients -= budget.rpcClients
	}
	if len(c.Options.MsgpackRPC.Flavors) > 0 {
		budget.rpcServers = max(1, budget.servers/rpcSocketsDivisor)
		budget.servers -= budget.rpcServers
	}
	return budget
}
