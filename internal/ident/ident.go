// Package ident defines the identifiers that the whole system shares.
package ident

import (
	"fmt"
	"strings"
	"time"
)

// InstanceID names an instance (a machine or a process slot on one).
type InstanceID string

// FailureDomain names a set of instances that can fail together.
type FailureDomain string

// Region names a set of failure domains with short network paths between them.
type Region string

// ClientAccount names a customer.
type ClientAccount string

// ServerID names a backend server: a model replica or a replica of a plain service.
type ServerID string

// ServiceName names a plain service.
type ServiceName string

// ModelName names a model as callers know it.
type ModelName string

// GroupID names an expert-parallel group of ranks.
type GroupID string

// Rank is the index of a member of a group, from 0.
type Rank int

// Incarnation tells two runs of the same process apart: the start time in
// microseconds since 1970. A later start has a greater incarnation.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at the given time.
func NewIncarnation(start time.Time) Incarnation { return Incarnation(start.UnixMicro()) }

// Started returns the start time of the incarnation.
func (i Incarnation) Started() time.Time { return time.UnixMicro(int64(i)) }

// IdempotencyKey is the caller's name for one booking.
type IdempotencyKey string

// FencingToken orders the orders that one engine receives. A greater token
// supersedes a smaller one.
type FencingToken uint64

// fencingOrderBits leaves room for one million orders within one revision.
const fencingOrderBits = 20

// NewFencingToken combines a record revision with the number of an order under
// that revision, so that tokens grow with every publish, retreats included.
func NewFencingToken(revision Revision, order uint32) FencingToken {
	return FencingToken(uint64(revision)<<fencingOrderBits | uint64(order)&(1<<fencingOrderBits-1))
}

// Revision returns the record revision within the token.
func (t FencingToken) Revision() Revision { return Revision(t >> fencingOrderBits) }

// Revision numbers the publishes of the configuration record. It grows with
// every publish, also when an earlier setting is published again.
type Revision uint64

// PriorityClass is one of the three kinds of work.
type PriorityClass string

// The priority classes, most urgent first.
const (
	Interactive PriorityClass = "interactive"
	Analytical  PriorityClass = "analytical"
	Batch       PriorityClass = "batch"
)

// PriorityClasses lists the classes, most urgent first.
func PriorityClasses() []PriorityClass { return []PriorityClass{Interactive, Analytical, Batch} }

// Valid reports whether the class is one of the three.
func (c PriorityClass) Valid() bool {
	return c == Interactive || c == Analytical || c == Batch
}

// RequestID names one request. It carries the name of the backend server whose
// sidecar holds the answer, so that any entry can find it: "r-UNIQUE.SERVER".
type RequestID string

// NewRequestID combines a unique part without dots with the holder of the answer.
func NewRequestID(unique string, holder ServerID) RequestID {
	return RequestID(fmt.Sprintf("r-%s.%s", unique, holder))
}

// Holder returns the backend server whose sidecar holds the answer.
func (r RequestID) Holder() (ServerID, bool) {
	unique, holder, found := strings.Cut(string(r), ".")
	if !found || !strings.HasPrefix(unique, "r-") || holder == "" {
		return "", false
	}
	return ServerID(holder), true
}

// Attempt numbers the tries of one request, from 1.
type Attempt uint32
