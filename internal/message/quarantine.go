package message

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// CrashReport tells the other entries which requests of the sender had no output at a
// backend server when it crashed.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Service ident.ServiceName
	Server  ident.ServerID
	// Age is the time since the crash. The clocks of two entries may differ by seconds.
	Age      time.Duration
	Suspects []CrashSuspect
}

// CrashSuspect is a request that had no output at a server when the server crashed.
type CrashSuspect struct {
	_ struct{} `cbor:",toarray"`
	// Parts are the shared parts of the request's prompt.
	Parts []ident.PromptPart
	// Began reports whether the head of a stream had arrived.
	Began bool
	// Repeated reports whether the request had crashed another server before.
	Repeated bool
	// Request is the fingerprint of the whole request.
	Request ident.Fingerprint
	// Silent reports whether nothing tells if the server was running the request.
	Silent bool
}

// TraitsProven tells the other entries which traits of requests did not crash the backend
// server that wrote an output to a request with them.
type TraitsProven struct {
	_       struct{} `cbor:",toarray"`
	Service ident.ServiceName
	Traits  []ProvenTrait
}

// ProvenTrait is a prompt part or a whole request that was shown to be sound.
type ProvenTrait struct {
	_    struct{} `cbor:",toarray"`
	Part ident.PromptPart
	// Age is the time since the output.
	Age time.Duration
	// Request is the fingerprint of the whole request, zero for a part.
	Request ident.Fingerprint
}

// TraitTrial tells the other entries that the sender sends one request to find out whether
// a trait of it crashes a backend server.
type TraitTrial struct {
	_       struct{} `cbor:",toarray"`
	Service ident.ServiceName
	Part    ident.PromptPart
	// Request is the fingerprint of the whole request, zero for a part.
	Request ident.Fingerprint
}

// RequestRecurred tells the other entries that a request came again which is held because it
// may have crashed a backend server.
type RequestRecurred struct {
	_       struct{} `cbor:",toarray"`
	Service ident.ServiceName
	Request ident.Fingerprint
}
