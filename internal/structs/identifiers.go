// Package structs defines the data types that the packages of mintpulley share:
// identifiers, calls, outcomes, configuration, fleet state and replicated
// records. It contains no behaviour beyond validation and conversion, and
// imports no other internal package.
package structs

import (
	"strconv"
	"strings"
)

// DaemonID identifies one incarnation of a daemon: "ADDRESS#INCARNATION", where
// ADDRESS is the peer address "IP:PORT". A daemon that restarts at the same
// address gets a higher incarnation and is a different member: it has lost its
// state and must not vote on the promises of its former incarnation.
type DaemonID string

// AnyIncarnation addresses the incarnation that currently listens at an address.
const AnyIncarnation uint64 = 0

// NewDaemonID returns the identifier for a peer address and an incarnation.
func NewDaemonID(address string, incarnation uint64) DaemonID {
	return DaemonID(address + "#" + strconv.FormatUint(incarnation, 10))
}

// Address returns the peer address "IP:PORT".
func (id DaemonID) Address() string {
	address, _, _ := strings.Cut(string(id), "#")
	return address
}

// Incarnation returns the incarnation, or AnyIncarnation if it is absent or
// malformed.
func (id DaemonID) Incarnation() uint64 {
	_, text, _ := strings.Cut(string(id), "#")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return AnyIncarnation
	}
	return number
}

// ZoneName names a failure domain inside a region.
type ZoneName string

// RegionName names a group of zones with low latency between them.
type RegionName string

// EngineID identifies a model engine or other back end by its address "IP:PORT".
type EngineID string

// ModelName names a model as callers request it.
type ModelName string

// AdapterName names a fine-tuned adapter of a model.
type AdapterName string

// TenantName names a tenant in the configuration.
type TenantName string

// TemplateName names a program template in the configuration.
type TemplateName string

// ProgramID identifies a program within its tenant. A sub-agent's identifier is
// its parent's followed by "/" and a name, so that a program and its descendants
// are in one shard and share a budget without a distributed transaction.
type ProgramID string

// programSeparator separates a parent's identifier from its child's name.
const programSeparator = "/"

// Root returns the identifier of the root program.
func (id ProgramID) Root() ProgramID {
	root, _, _ := strings.Cut(string(id), programSeparator)
	return ProgramID(root)
}

// Parent returns the identifier of the parent, or "" for a root program.
func (id ProgramID) Parent() ProgramID {
	last := strings.LastIndex(string(id), programSeparator)
	if last < 0 {
		return ""
	}
	return id[:last]
}

// ProgramKey identifies a program in the fleet. Tenants may use the same program
// identifiers without conflict.
type ProgramKey struct {
	Tenant  TenantName `json:"tenant"`
	Program ProgramID  `json:"program"`
}

// String returns "TENANT:PROGRAM".
func (key ProgramKey) String() string {
	return string(key.Tenant) + ":" + string(key.Program)
}

// Parent returns the key of the parent program; Program is "" for a root.
func (key ProgramKey) Parent() ProgramKey {
	return ProgramKey{Tenant: key.Tenant, Program: key.Program.Parent()}
}

// RequestID is the caller's idempotency key, unique within its program.
type RequestID string

// AttemptID identifies a request at back ends, which deduplicate by it. It is
// "TENANT:PROGRAM:REQUEST" for every attempt of a request, so that a new leader
// can inspect an attempt that its predecessor dispatched.
type AttemptID string

// NewAttemptID returns the identifier of a request at back ends.
func NewAttemptID(key ProgramKey, request RequestID) AttemptID {
	return AttemptID(key.String() + ":" + string(request))
}

// ShardNumber numbers a shard of programs, from 0.
type ShardNumber uint32

// Epoch numbers the leadership terms of a shard, from 1. 0 means none.
type Epoch uint64

// Index numbers the records of a shard's log, from 1. 0 means none.
type Index uint64

// LogOffset is a position in a stream of the platform's log service, from 0.
type LogOffset int64

// Revision numbers accepted configurations, from 1. 0 means none accepted.
type Revision int64

// Cost is an amount of budget in millionths of a credit.
type Cost int64
