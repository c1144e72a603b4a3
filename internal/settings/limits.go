package settings

import (
	"reflect"

	"github.com/anvilpoint/anvilpoint/internal/jsonc"
)

// MinMemoryMB is the least memory in megabytes with which a process works.
const MinMemoryMB = 96

// programBytes is the memory that a process needs beside its heap, with room for what is
// allocated while the garbage collector runs.
const programBytes = 48 << 20

// Limits bounds what a process holds.
type Limits struct {
	MemoryMB int `json:"memory_mb" default:"200" min:"96" max:"1048576" doc:"Memory of the instance in megabytes; less if the instance has less. The process keeps its heap below seven tenths of it, less if that leaves no 48 MB beside it, and what clients make an entry hold below three sevenths of the heap."`
	// Connections and HeadBytes concern entries only.
	Connections int   `json:"max_client_connections" default:"2000" min:"16" max:"1000000" doc:"Entry only: open connections of clients. Beyond it, one that makes no progress is closed for each new one."`
	HeadBytes   int64 `json:"max_head_bytes" default:"32768" min:"16384" max:"524288" doc:"Entry only: largest head of a request in bytes. Operators may allow larger ones in the record of routes."`
}

// DefaultLimits returns the limits of a process whose settings give none.
func DefaultLimits() Limits {
	var l Limits
	jsonc.SetDefaults(reflect.ValueOf(&l).Elem(), "")
	return l
}

// HeapBytes returns the soft limit of the heap in bytes.
func (l Limits) HeapBytes() int64 {
	memory := int64(l.MemoryMB) << 20
	return min(memory/10*7, memory-programBytes)
}

// ClientBytes returns how much memory in bytes clients may claim.
func (l Limits) ClientBytes() int64 { return l.HeapBytes() / 7 * 3 }
