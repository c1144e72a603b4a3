// Package jsonc decodes JSON with comments into structs and reports every fault
// with its file, line, column and field path.
//
// Struct fields use the tags json (name), default, min, max, enum (values
// separated by "|"), required ("true") and doc (one sentence with the unit).
package jsonc

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Fault is one fault found in a file.
type Fault struct {
	File   string
	Line   int
	Column int
	// Path is the field path, for example "accounts[2].weight".
	Path    string
	Message string
}

// String formats the fault as file:line:column: path: message.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "(document)"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, path, f.Message)
}

// Faults is a list of faults in the order of the file.
type Faults []Fault

// Error implements error. It has one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Document is a decoded file with the position of each field, so that later checks
// can report faults there.
type Document struct {
	file string
	data []byte
	// offsets holds the byte offset of each value by its field path.
	offsets map[string]int
}

// At returns a fault at the position of the field path. If the file does not set
// the field, the position is that of its nearest ancestor.
func (d *Document) At(path, format string, args ...any) Fault {
	offset := 0
	for at := path; ; at = parentPath(at) {
		if o, ok := d.offsets[at]; ok {
			offset = o
			break
		}
		if at == "" {
			break
		}
	}
	return d.fault(offset, path, fmt.Sprintf(format, args...))
}

// Has reports whether the file sets the field.
func (d *Document) Has(path string) bool {
	_, ok := d.offsets[path]
	return ok
}

func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

func (d *Document) fault(offset int, path, message string) Fault {
	before := string(d.data[:min(offset, len(d.data))])
	line := 1 + strings.Count(before, "\n")
	column := 1 + len(before) - (strings.LastIndex(before, "\n") + 1)
	return Fault{File: d.file, Line: line, Column: column, Path: path, Message: message}
}

// Decode reads data into dst, a pointer to a struct. Fields that the data does
// not set get the value of their default tag. The document is nil if the data
// has a syntax error.
func Decode(file string, data []byte, dst any) (*Document, Faults) {
	d := &Document{file: file, data: data, offsets: make(map[string]int)}
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, Faults{d.syntaxFault(err)}
	}
	return d, d.decode(&value, dst)
}

// DecodeValue is Decode for one value within data that is already parsed. Lines and
// columns refer to the whole data; field paths start at the value.
func DecodeValue(file string, data []byte, value *hujson.Value, dst any) (*Document, Faults) {
	d := &Document{file: file, data: data, offsets: make(map[string]int)}
	return d, d.decode(value, dst)
}

func (d *Document) decode(value *hujson.Value, dst any) Faults {
	dec := decoder{doc: d}
	dec.value("", value, reflect.ValueOf(dst).Elem(), constraints{})
	return dec.faults
}

func (d *Document) syntaxFault(err error) Fault {
	var line, column int
	text := err.Error()
	if _, scanErr := fmt.Sscanf(text, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return Fault{File: d.file, Line: 1, Column: 1, Message: text}
	}
	message := text[strings.Index(text, ": ")+2:]
	if cut := strings.Index(message, ": "); cut >= 0 {
		message = message[cut+2:]
	}
	return Fault{File: d.file, Line: line, Column: column, Message: message}
}

// constraints are the limits and allowed values in a field's tags.
type constraints struct {
	min, max, enum string
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)
