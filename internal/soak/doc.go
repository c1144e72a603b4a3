// Package soak holds the soak test: it runs entries and the agents of ranks as separate
// processes between stand-ins of the platform, injects faults from outside the
// processes, and checks what clients and backend servers see.
package soak
