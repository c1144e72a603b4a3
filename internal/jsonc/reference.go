package jsonc

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference describes the fields of a struct as a Markdown table: path, type,
// default, allowed values and meaning.
func Reference(of any) string {
	var b strings.Builder
	b.WriteString("| field | type | default | allowed | meaning |\n|---|---|---|---|---|\n")
	describe(&b, "", reflect.TypeOf(of))
	return b.String()
}

func describe(b *strings.Builder, path string, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	for i := range t.NumField() {
		field := t.Field(i)
		name := jsonName(field)
		if name == "" {
			continue
		}
		at := joinPath(path, name)
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", at, typeName(field.Type), defaultText(field), allowedText(field), field.Tag.Get("doc"))
		if inner, suffix, ok := nested(field.Type); ok {
			describe(b, at+suffix, inner)
		}
	}
}

// nested returns the struct type to which a field's pointers and slices lead, and
// the suffix of the field's path: "[]" for each slice.
func nested(t reflect.Type) (reflect.Type, string, bool) {
	suffix := ""
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		if t.Kind() == reflect.Slice {
			suffix += "[]"
		}
		t = t.Elem()
	}
	return t, suffix, t.Kind() == reflect.Struct && t != timeType
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t == timeType:
		return "time"
	case t.Kind() == reflect.Pointer:
		return typeName(t.Elem())
	case t.Kind() == reflect.Slice:
		return "array of " + typeName(t.Elem())
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return "object"
	case t.Kind() == reflect.String:
		return "string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func defaultText(field reflect.StructField) string {
	if text := field.Tag.Get("default"); text != "" {
		return "`" + text + "`"
	}
	if field.Tag.Get("required") == "true" {
		return "required"
	}
	return ""
}

func allowedText(field reflect.StructField) string {
	if text := field.Tag.Get("enum"); text != "" {
		return strings.ReplaceAll(text, "|", ", ")
	}
	minimum, maximum := field.Tag.Get("min"), field.Tag.Get("max")
	switch {
	case minimum != "" && maximum != "":
		return minimum + " to " + maximum
	case minimum != "":
		return "at least " + minimum
	case maximum != "":
		return "at most " + maximum
	default:
		return ""
	}
}
