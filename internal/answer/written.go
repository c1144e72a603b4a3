package answer

import "time"

// writeGrace is how long the writer of a request may take to report what it has done.
const writeGrace = 20 * time.Millisecond

// Written reports whether a request was written whole, by the result that its writer sends.
// The writer may not have run since the server took the last byte and answered, so it is
// awaited for a moment. It is longer at work only if the server does not read the request.
func Written(result <-chan error) bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case err := <-result:
		return err == nil
	case <-timer.C:
	}
	select {
	case err := <-result:
		return err == nil
	default:
		return false
	}
}
