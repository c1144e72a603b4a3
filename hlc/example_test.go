package hlc_test

import (
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/hlc"
)

// A receiver whose wall clock is behind still orders the receipt of a message after
// its sending.
func Example() {
	sender := hlc.New(func() time.Time { return time.Unix(100, 0) })
	receiver := hlc.New(func() time.Time { return time.Unix(90, 0) })
	sent := sender.Now()
	received := receiver.Observe(sent)
	fmt.Println(sent < received)
	// Output: true
}
