package command

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// limitMemory lowers the limits to the memory of the instance, and sets the limit of the
// heap.
func limitMemory(l *settings.Limits) error {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return errors.Wrap(err, "read the memory of the instance")
	}
	total := uint64(info.Totalram) * uint64(info.Unit) >> 20
	l.MemoryMB = int(min(uint64(l.MemoryMB), max(total, settings.MinMemoryMB)))
	debug.SetMemoryLimit(l.HeapBytes())
	return nil
}
