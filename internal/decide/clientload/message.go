package clientload

// ConnectionID names one connection of a client within a process.
type ConnectionID uint64

// ClaimID names one claim within a process.
type ClaimID uint64

// Message tells of a connection, or of the passing of time.
type Message interface{ isMessage() }

type (
	// Opened tells of a new connection.
	Opened struct{ Connection ConnectionID }
	// HeadReceived tells that the head of a request is complete. Whole reports whether its
	// body is, too.
	HeadReceived struct {
		Connection ConnectionID
		Whole      bool
	}
	// RequestReceived tells that the whole request was received.
	RequestReceived struct{ Connection ConnectionID }
	// Progressed tells that the client sent a further part of a request that holds memory.
	Progressed struct{ Connection ConnectionID }
	// WriteBegan and WriteEnded enclose a write to a client whose connection holds memory.
	WriteBegan struct{ Connection ConnectionID }
	WriteEnded struct{ Connection ConnectionID }
	// Claim asks for a number of bytes beyond those that the connection holds already. The
	// answer is Grant or Deny.
	Claim struct {
		ID         ClaimID
		Connection ConnectionID
		Bytes      int64
		Use        Use
		// Size is the size in bytes of the head or the body so far, which the limits bound.
		Size int64
	}
	// SetLimits replaces the limits of a head and a body.
	SetLimits struct{ HeadBytes, BodyBytes int64 }
	// RequestEnded gives back what the connection holds. It waits for its next request.
	RequestEnded struct{ Connection ConnectionID }
	// Closed gives back the connection and what it holds.
	Closed struct{ Connection ConnectionID }
	// Tick lets time pass. It is due every TickInterval while claims wait.
	Tick struct{}
)

func (Opened) isMessage()          {}
func (HeadReceived) isMessage()    {}
func (RequestReceived) isMessage() {}
func (Progressed) isMessage()      {}
func (WriteBegan) isMessage()      {}
func (WriteEnded) isMessage()      {}
func (Claim) isMessage()           {}
func (SetLimits) isMessage()       {}
func (RequestEnded) isMessage()    {}
func (Closed) isMessage()          {}
func (Tick) isMessage()            {}

// Use says what claimed memory is for.
type Use int

const (
	// ForHead is memory for the head of a request.
	ForHead Use = iota
	// ForBody is memory for the body of a request.
	ForBody
	// ForAnswer is memory for the answer to a request that has run.
	ForAnswer
	// ForHeldAnswer is memory for an answer that the process holds already, so that its
	// claim does not wait.
	ForHeldAnswer
)

// Action is what the caller of Step carries out.
type Action interface{ isAction() }

type (
	// Grant answers Claim: the memory may be used until RequestEnded or Closed.
	Grant struct{ Claim ClaimID }
	// Deny answers Claim: the memory is not to be had.
	Deny struct {
		Claim ClaimID
		// Never is set if the connection would hold more than the limits allow at any time.
		Never bool
	}
	// Close closes a connection that gives way to others.
	Close struct{ Connection ConnectionID }
)

func (Grant) isAction() {}
func (Deny) isAction()  {}
func (Close) isAction() {}
