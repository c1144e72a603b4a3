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

// ClientAccount names a client account, to which API keys belong.
type ClientAccount string

// ServerID names a backend server: a model replica or a replica of a plain service.
type ServerID string

// PromptPart is the id of a part of a prompt. Requests that share a prefix of their
// prompts name the same parts.
type PromptPart string

// Fingerprint identifies the requests of one client account that have the same method, target,
// body and shared prompt parts. Zero means that it is not known. It must not be logged as it is, since a short
// body could be found by trying: see eventlog.RequestTags.
type Fingerprint uint64

// ServiceName names a plain service.
type ServiceName string

// ModelName names a model as callers know it.
type ModelName string

// GroupID names an expert-parallel group of ranks.
type GroupID string

// Rank is the index of a member of a group, from 0.
type Rank int

// Incarnation distinguishes the runs of a process. It is the start time in
// microseconds since 1970, so that a later run has a greater incarnation.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at the given time.
func NewIncarnation(start time.Time) Incarnation { return Incarnation(start.UnixMicro()) }

// Started returns the start time of the incarnation.
func (i Incarnation) Started() time.Time { return time.UnixMicro(int64(i)) }

// IdempotencyKey is the caller's name for one booking: calls of a plain service
// with the same key run at most once.
type IdempotencyKey string

// FencingToken numbers the orders that one engine receives. An order with a greater
// token supersedes those with smaller ones.
type FencingToken uint64

// fencingOrderBits is the width in bits of the order number in a fencing token. It
// allows for one million orders within one revision.
const fencingOrderBits = 20

// NewFencingToken combines a record revision with the number of an order under
// that revision, so that tokens grow with every publication, including one that
// rolls back to earlier content.
func NewFencingToken(revision Revision, order uint32) FencingToken {
	return FencingToken(uint64(revision)<<fencingOrderBits | uint64(order)&(1<<fencingOrderBits-1))
}

// Revision returns the record revision within the token.
func (t FencingToken) Revision() Revision { return Revision(t >> fencingOrderBits) }

// Revision numbers the publications of the configuration record. It grows with
// each one, also when earlier content is published again.
type Revision uint64

// PriorityClass is the class of a request by its urgency.
type PriorityClass string

// The priority classes, most urgent first.
const (
	Interactive PriorityClass = "interactive"
	Analytical  PriorityClass = "analytical"
	Batch       PriorityClass = "batch"
)

// PriorityClasses lists the classes, most urgent first.
func PriorityClasses() []PriorityClass { return []PriorityClass{Interactive, Analytical, Batch} }

// Valid reports whether the class is one of the defined ones.
func (c PriorityClass) Valid() bool {
	return c == Interactive || c == Analytical || c == Batch
}

// RequestID names one request. It contains the id of the backend server whose
// sidecar holds the answer, so that any entry can find the answer:
// "r-UNIQUE.SERVER".
type RequestID string

// NewRequestID returns the id of a request. The unique part must not contain a dot.
func NewRequestID(unique string, holder ServerID) RequestID {
	return RequestID(fmt.Sprintf("r-%s.%s", unique, holder))
}

// Holder returns the backend server whose sidecar holds the answer, or false if the
// id does not have the form "r-UNIQUE.SERVER".
func (r RequestID) Holder() (ServerID, bool) {
	unique, holder, found := strings.Cut(string(r), ".")
	if !found || !strings.HasPrefix(unique, "r-") || holder == "" {
		return "", false
	}
	return ServerID(holder), true
}

// Attempt numbers the attempts to run one request, from 1.
type Attempt uint32
