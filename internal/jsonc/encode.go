package jsonc

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Encode writes a struct as indented JSON that Decode reads back. Durations are
// written with their unit; nil pointers and slices are omitted.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := encode(&b, reflect.ValueOf(v), 0); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func encode(b *bytes.Buffer, v reflect.Value, depth int) error {
	switch {
	case v.Kind() == reflect.Pointer:
		return encode(b, v.Elem(), depth)
	case v.Type() == durationType:
		return encodeScalar(b, time.Duration(v.Int()).String())
	case v.Type() == timeType:
		return encodeScalar(b, v.Interface())
	case v.Kind() == reflect.Struct:
		return encodeStruct(b, v, depth)
	case v.Kind() == reflect.Slice:
		return encodeSlice(b, v, depth)
	default:
		return encodeScalar(b, v.Interface())
	}
}

func encodeScalar(b *bytes.Buffer, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode JSON")
	}
	b.Write(text)
	return nil
}

func encodeStruct(b *bytes.Buffer, v reflect.Value, depth int) error {
	b.WriteString("{")
	first := true
	for i := range v.NumField() {
		name := jsonName(v.Type().Field(i))
		if name == "" || isNil(v.Field(i)) {
			continue
		}
		writeSeparator(b, &first, depth+1)
		b.WriteString(`"` + name + `": `)
		if err := encode(b, v.Field(i), depth+1); err != nil {
			return err
		}
	}
	writeIndent(b, first, depth)
	b.WriteString("}")
	return nil
}

func isNil(v reflect.Value) bool {
	return (v.Kind() == reflect.Pointer || v.Kind() == reflect.Slice) && v.IsNil()
}

func encodeSlice(b *bytes.Buffer, v reflect.Value, depth int) error {
	b.WriteString("[")
	first := true
	for i := range v.Len() {
		writeSeparator(b, &first, depth+1)
		if err := encode(b, v.Index(i), depth+1); err != nil {
			return err
		}
	}
	writeIndent(b, first, depth)
	b.WriteString("]")
	return nil
}

// writeSeparator starts the line of a member, after a comma unless it is the first.
func writeSeparator(b *bytes.Buffer, first *bool, depth int) {
	if !*first {
		b.WriteString(",")
	}
	*first = false
	b.WriteString("\n" + strings.Repeat("  ", depth))
}

// writeIndent starts the line of a closing bracket unless there were no members.
func writeIndent(b *bytes.Buffer, empty bool, depth int) {
	if !empty {
		b.WriteString("\n" + strings.Repeat("  ", depth))
	}
}
