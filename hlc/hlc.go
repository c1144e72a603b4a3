// Package hlc implements the hybrid logical clock of Kulkarni et al., "Logical
// Physical Clocks and Consistent Snapshots in Globally Distributed Databases"
// (2014). Its timestamps, called stamps, order causes before effects across
// processes and stay close to wall time.
package hlc

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// logicalBits is the width of the logical counter in bits. The remaining 52 bits
// hold microseconds since 1970 and suffice until the year 2112.
const logicalBits = 12

// Stamp is one reading of a clock: microseconds since 1970 in the high 52 bits and
// the logical counter in the low 12.
type Stamp uint64

// Wall returns the physical part as wall time.
func (s Stamp) Wall() time.Time { return time.UnixMicro(int64(s >> logicalBits)) }

// Logical returns the counter that orders stamps of the same microsecond.
func (s Stamp) Logical() int { return int(s & (1<<logicalBits - 1)) }

// String writes the stamp as 16 hexadecimal digits, which sort like the stamp.
func (s Stamp) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// Parse is the inverse of String.
func Parse(text string) (Stamp, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse hybrid logical clock stamp")
	}
	return Stamp(v), nil
}

// Clock is the hybrid logical clock of one process. It is an atomic integer and
// not a task, because every task reads it for every event, and a message's stamp is
// needed before the message is sent.
type Clock struct {
	last atomic.Uint64
	wall func() time.Time
}

// New returns a clock that is based on the given wall clock.
func New(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a stamp later than every stamp that this clock returned or observed.
func (c *Clock) Now() Stamp { return c.advance(0) }

// Observe returns a stamp later than the given stamp of a received message and than
// every stamp that this clock returned or observed.
func (c *Clock) Observe(remote Stamp) Stamp { return c.advance(remote) }

func (c *Clock) advance(remote Stamp) Stamp {
	physical := Stamp(c.wall().UnixMicro()) << logicalBits
	for {
		last := Stamp(c.last.Load())
		next := max(physical, last+1, remote+1)
		if c.last.CompareAndSwap(uint64(last), uint64(next)) {
			return next
		}
	}
}
