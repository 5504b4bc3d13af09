// Package register implements a replicated register: a single value that is written to the disks of a majority of the control machines and
// read from a majority. The value holds the configuration and the set of members that store it. There is neither a log nor a leader: every
// control machine runs one Replica, which is both acceptor and proposer.
//
// The protocol is CASPaxos (Rystsov, 2018) with the read of the ABD register (Attiya, Bar-Noy, Dolev, 1995): a proposer first reads from
// a majority. If all of its machines accepted the same ballot last, the value of that ballot is the committed one. Otherwise, or if there
// is something to write, a Prepare and an Accept phase follow, in which the pending operations are applied to the value. Members change as
// in Raft's joint consensus: while a change is under way, a quorum is a majority of the new members and a majority of the prior ones.
//
// Safety rests on three rules:
//   - Rounds are ordered by ballots. An acceptor has its promise and its accepted value on disk before it replies.
//   - The members are part of the value, so that every reader of the value also reads which machines a majority is counted over.
//   - A machine whose disk is empty after a restart does not vote until it has read from so many others that they include a machine of
//     every quorum it was ever part of. The others store its new incarnation, which invalidates the replies of its earlier ones. See
//     rejoin.go.
//
// The package does no I/O and has no clock: Replica.Handle takes an event and the time, and returns the state to store, the messages to
// send and the outcomes to deliver, in that order. Nothing of an Output may leave the process before its State, if it has one, is on
// disk.
//
// Start reading at Replica.Handle. The phases of a round are in proposer.go, in their order.
package register
