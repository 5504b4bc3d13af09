// Package register is an explorer of package mesh/register: links lose, delay, duplicate and reorder messages, processes are killed,
// machines lose power before or after a sync, disks come back empty, and members are replaced. The check sees only the history of the
// responses that operators received, and is independent of the protocol.
//
// Start reading at Start, which creates a system, and Search, which runs random orders of events in it.
package register
