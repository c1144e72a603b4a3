package jsonc

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// decoder walks the syntax tree and the destination value together.
type decoder struct {
	doc    *Document
	faults Faults
	// fields caches the field indexes by name of the struct types met so far.
	fields map[reflect.Type]map[string]int
}

func (d *decoder) fieldsOf(t reflect.Type) map[string]int {
	if d.fields == nil {
		d.fields = make(map[reflect.Type]map[string]int)
	}
	known, ok := d.fields[t]
	if !ok {
		known = fieldsOf(t)
		d.fields[t] = known
	}
	return known
}

func (d *decoder) fault(v *hujson.Value, path, format string, args ...any) {
	d.faults = append(d.faults, d.doc.fault(v.StartOffset, path, fmt.Sprintf(format, args...)))
}

func (d *decoder) value(path string, v *hujson.Value, dst reflect.Value, c constraints) {
	d.doc.offsets[path] = v.StartOffset
	if dst.Kind() == reflect.Pointer {
		if dst.IsNil() {
			dst.Set(reflect.New(dst.Type().Elem()))
		}
		d.value(path, v, dst.Elem(), c)
		return
	}
	switch {
	case dst.Type() == durationType:
		d.duration(path, v, dst, c)
	case dst.Type() == timeType:
		d.time(path, v, dst)
	case dst.Kind() == reflect.Struct:
		d.object(path, v, dst)
	case dst.Kind() == reflect.Slice:
		d.array(path, v, dst, c)
	case dst.Kind() == reflect.Map:
		d.dictionary(path, v, dst, c)
	default:
		d.scalar(path, v, dst, c)
	}
}

func (d *decoder) object(path string, v *hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v, path, "expected an object, found %s", kindOf(v))
		return
	}
	fields := d.fieldsOf(dst.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := text(member.Name.Value.(hujson.Literal))
		at := joinPath(path, name)
		if seen[name] {
			d.fault(&member.Name, at, "the field is set twice")
			continue
		}
		seen[name] = true
		index, known := fields[name]
		if !known {
			d.fault(&member.Name, at, "unknown field%s", suggestion(name, fields))
			continue
		}
		field := dst.Type().Field(index)
		d.value(at, &member.Value, dst.Field(index), constraintsOf(field))
	}
	d.fillMissing(path, v, dst, seen)
}

func (d *decoder) fillMissing(path string, v *hujson.Value, dst reflect.Value, seen map[string]bool) {
	for i := range dst.NumField() {
		field := dst.Type().Field(i)
		name := jsonName(field)
		if name == "" || seen[name] {
			continue
		}
		if field.Tag.Get("required") == "true" {
			d.fault(v, joinPath(path, name), "the field is required")
			continue
		}
		SetDefaults(dst.Field(i), field.Tag.Get("default"))
	}
}

// SetDefaults sets the destination to the default given as text. For a struct it
// sets the defaults of the fields instead. It panics if a default does not parse,
// since defaults are constants of the program.
func SetDefaults(dst reflect.Value, text string) {
	if dst.Kind() == reflect.Struct && dst.Type() != timeType {
		for i := range dst.NumField() {
			SetDefaults(dst.Field(i), dst.Type().Field(i).Tag.Get("default"))
		}
		return
	}
	if text == "" {
		return
	}
	if err := parseText(text, dst); err != nil {
		panic(fmt.Sprintf("parse default %q: %v", text, err))
	}
}

func (d *decoder) array(path string, v *hujson.Value, dst reflect.Value, c constraints) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(v, path, "expected an array, found %s", kindOf(v))
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.value(path+"["+strconv.Itoa(i)+"]", &array.Elements[i], out.Index(i), c)
	}
	dst.Set(out)
}

func (d *decoder) dictionary(path string, v *hujson.Value, dst reflect.Value, c constraints) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v, path, "expected an object, found %s", kindOf(v))
		return
	}
	out := reflect.MakeMap(dst.Type())
	for i := range object.Members {
		member := &object.Members[i]
		name := text(member.Name.Value.(hujson.Literal))
		key := reflect.New(dst.Type().Key()).Elem()
		key.SetString(name)
		if out.MapIndex(key).IsValid() {
			d.fault(&member.Name, joinPath(path, name), "the field is set twice")
			continue
		}
		element := reflect.New(dst.Type().Elem()).Elem()
		d.value(joinPath(path, name), &member.Value, element, c)
		out.SetMapIndex(key, element)
	}
	dst.Set(out)
}

func (d *decoder) duration(path string, v *hujson.Value, dst reflect.Value, c constraints) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fault(v, path, `expected a duration with a unit such as "250ms" or "30s", found %s`, kindOf(v))
		return
	}
	duration, err := time.ParseDuration(literal.String())
	if err != nil {
		d.fault(v, path, `%q is not a duration with a unit such as "250ms" or "30s"`, literal.String())
		return
	}
	if minimum, err := time.ParseDuration(c.min); err == nil && duration < minimum {
		d.fault(v, path, "%s is less than the minimum %s", duration, minimum)
	}
	if maximum, err := time.ParseDuration(c.max); err == nil && duration > maximum {
		d.fault(v, path, "%s is more than the maximum %s", duration, maximum)
	}
	dst.SetInt(int64(duration))
}

func (d *decoder) time(path string, v *hujson.Value, dst reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.fault(v, path, "expected a time such as %q, found %s", "2026-01-31T08:00:00Z", kindOf(v))
		return
	}
	t, err := time.Parse(time.RFC3339Nano, literal.String())
	if err != nil {
		d.fault(v, path, "%q is not a time such as %q", literal.String(), "2026-01-31T08:00:00Z")
		return
	}
	dst.Set(reflect.ValueOf(t))
}

func (d *decoder) scalar(path string, v *hujson.Value, dst reflect.Value, c constraints) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		d.fault(v, path, "expected %s, found %s", expectedType(dst), kindOf(v))
		return
	}
	if !literalFits(literal, dst) {
		d.fault(v, path, "expected %s, found %s", expectedType(dst), kindOf(v))
		return
	}
	if dst.Kind() == reflect.String {
		dst.SetString(text(literal))
		d.check(path, v, dst, c)
		return
	}
	if err := json.Unmarshal(literal, dst.Addr().Interface()); err != nil {
		d.fault(v, path, "%s is not %s", string(literal), expectedType(dst))
		return
	}
	d.check(path, v, dst, c)
}

// text returns the value of a string literal, whose syntax the parser has checked.
// Most literals are ASCII without escapes, and their bytes are the value.
func text(literal hujson.Literal) string {
	for _, c := range literal {
		if c == '\\' || c >= utf8.RuneSelf {
			return literal.String()
		}
	}
	return string(literal[1 : len(literal)-1])
}

func literalFits(literal hujson.Literal, dst reflect.Value) bool {
	switch dst.Kind() {
	case reflect.String:
		return literal.Kind() == '"'
	case reflect.Bool:
		return literal.Kind() == 't' || literal.Kind() == 'f'
	default:
		return literal.Kind() == '0'
	}
}

func (d *decoder) check(path string, v *hujson.Value, dst reflect.Value, c constraints) {
	if c.enum != "" && dst.Kind() == reflect.String {
		allowed := strings.Split(c.enum, "|")
		for _, a := range allowed {
			if a == dst.String() {
				return
			}
		}
		d.fault(v, path, "%q is not one of %s", dst.String(), strings.Join(allowed, ", "))
		return
	}
	number, ok := asFloat(dst)
	if !ok {
		return
	}
	if minimum, err := strconv.ParseFloat(c.min, 64); err == nil && number < minimum {
		d.fault(v, path, "%v is less than the minimum %s", number, c.min)
	}
	if maximum, err := strconv.ParseFloat(c.max, 64); err == nil && number > maximum {
		d.fault(v, path, "%v is more than the maximum %s", number, c.max)
	}
}

func asFloat(v reflect.Value) (float64, bool) {
	switch {
	case v.CanInt():
		return float64(v.Int()), true
	case v.CanUint():
		return float64(v.Uint()), true
	case v.CanFloat():
		return v.Float(), true
	default:
		return 0, false
	}
}

func parseText(text string, dst reflect.Value) error {
	switch {
	case dst.Type() == durationType:
		d, err := time.ParseDuration(text)
		dst.SetInt(int64(d))
		return err
	case dst.Kind() == reflect.String:
		dst.SetString(text)
		return nil
	default:
		return json.Unmarshal([]byte(text), dst.Addr().Interface())
	}
}

func expectedType(dst reflect.Value) string {
	switch {
	case dst.Kind() == reflect.String:
		return "a string"
	case dst.Kind() == reflect.Bool:
		return "true or false"
	case dst.CanUint():
		return "a whole number of at least 0"
	case dst.CanInt():
		return "a whole number"
	default:
		return "a number"
	}
}

func kindOf(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	default:
		return "a number"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func constraintsOf(field reflect.StructField) constraints {
	return constraints{min: field.Tag.Get("min"), max: field.Tag.Get("max"), enum: field.Tag.Get("enum")}
}

// suggestion returns a hint at a known field whose name differs only in case, dashes
// or underscores.
func suggestion(name string, fields map[string]int) string {
	for known := range fields {
		if normalized(known) == normalized(name) {
			return fmt.Sprintf(", did you mean %q", known)
		}
	}
	return ""
}

func normalized(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(name))
}
