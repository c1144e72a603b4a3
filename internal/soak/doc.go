// Package soak holds the fault soak: tests that run entries and the processes beside
// ranks as separate processes between stand-ins of the platform, injects faults from
// outside, and checks what clients and backend servers see.
package soak
