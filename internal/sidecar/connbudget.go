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
	rpcShare = 4
)

// connBudget is how many connections each protocol may hold on each side.
type connBudget struct{ servers, clients, rpcServers, rpcClients int }

// connBudget divides the descriptors that all processes of the sidecar have together, of which each process needs some for
// itself.
func (c *Config) connBudget(processes int) connBudget {
	reserved := reservedSockets + c.Options.ReceiverCount()
	if c.Admin != "" {
		reserved += operators.MaxCallers
	}
	all := max(minSockets-reservedSockets, c.Limits.Sockets-processes*reserved)
	b := connBudget{servers: all / 2}
	b.clients = all - b.servers
	if c.Options.MsgpackRPC.Listen != "" {
		b.rpcClients = min(c.Options.MsgpackRPC.MaxClientConns, b.clients/2)
		b.clients -= b.rpcClients
	}
	if len(c.Options.MsgpackRPC.Flavors) > 0 {
		b.rpcServers = max(1, b.servers/rpcShare)
		b.servers -= b.rpcServers
	}
	return b
}
