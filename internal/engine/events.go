package engine

import (
	"bufio"
	"bytes"
	"io"
)

// maxLineBytes is the size of a stream's read buffer and thus of its longest line.
const maxLineBytes = 64 << 10

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// readEvents reads server-sent events until [DONE]. Events whose bytes are
// already in the buffer are emitted together.
func readEvents(body io.Reader, emit func(batch [][]byte) bool) error {
	reader := bufio.NewReaderSize(body, maxLineBytes)
	var batch [][]byte
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			// Complete events are emitted even if the stream breaks afterwards.
			if len(batch) > 0 {
				emit(batch)
			}
			return truncatedError{cause: err}
		}
		data, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		if !found {
			continue
		}
		data = bytes.TrimPrefix(data, []byte(" "))
		done := bytes.Equal(data, doneData)
		if !done {
			batch = append(batch, bytes.Clone(data))
		}
		if len(batch) > 0 && (done || !lineBuffered(reader)) {
			if !emit(batch) {
				return ErrTruncated
			}
			batch = nil
		}
		if done {
			return nil
		}
	}
}

// lineBuffered reports whether another event line can be read without waiting.
func lineBuffered(reader *bufio.Reader) bool {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return false
	}
	at := bytes.Index(buffered, dataField)
	return at >= 0 && bytes.IndexByte(buffered[at:], '\n') >= 0
}
