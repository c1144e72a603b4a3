package record

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// NewestSchema is the highest schema version that this program reads.
const NewestSchema = 2

// unknownSchemaFormat is the message for a record of a schema that the reader does
// not know. A bundle can hold such a record beside one that the reader knows.
const unknownSchemaFormat = "schema %d is not known; this program reads schemas 1 to %d"

// Parse reads a record or a bundle of records. The result depends on the value
// alone, so all processes that know the same schemas accept the same values. A
// value without a revision gives a snapshot with revision 0, which can be checked
// but is never put in force.
func Parse(file string, value []byte) (*Snapshot, jsonc.Faults) {
	return ParseUpTo(NewestSchema, file, value)
}

// ParseUpTo reads a value as a program does whose newest schema is the given one.
// Records of a bundle that have a newer schema are skipped.
func ParseUpTo(newest int, file string, value []byte) (*Snapshot, jsonc.Faults) {
	if len(value) > MaxValueBytes {
		return nil, jsonc.Faults{{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("%d bytes exceed the limit of %d bytes of the configuration service", len(value), MaxValueBytes)}}
	}
	tree, err := hujson.Parse(value)
	if err != nil {
		// Decode reports the line and column of the syntax error.
		_, faults := jsonc.Decode(file, value, &struct{}{})
		return nil, faults
	}
	var snapshot *Snapshot
	var faults jsonc.Faults
	var revision ident.Revision
	if member(&tree, "records") != nil {
		snapshot, revision, faults = parseBundle(newest, file, value, &tree)
	} else {
		snapshot, revision, faults = parseOne(newest, file, value, "", &tree)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	snapshot.Digest = DigestOf(revision, value)
	return snapshot, nil
}

// DigestOf returns the digest of a value: its revision and the first 8 bytes of its
// SHA-256 hash.
func DigestOf(revision ident.Revision, value []byte) message.Digest {
	sum := sha256.Sum256(value)
	return message.Digest{Revision: revision, Hash: binary.BigEndian.Uint64(sum[:8])}
}

// Peek returns the digest of a value that may be invalid. The revision is 0 if
// it cannot be read.
func Peek(value []byte) message.Digest {
	revision := uint64(0)
	if tree, err := hujson.Parse(value); err == nil {
		if m := member(&tree, "revision"); m != nil {
			if literal, ok := m.Value.(hujson.Literal); ok && literal.Kind() == '0' {
				revision = literal.Uint()
			}
		}
	}
	return DigestOf(ident.Revision(revision), value)
}

// bundle holds one record in several schemas. A revision is at most 2^43-1, since
// a fencing token is a 64-bit number with the revision above 20 other bits.
type bundle struct {
	Revision ident.Revision  `json:"revision" max:"8796093022207"`
	Records  []ignoredObject `json:"records" required:"true"`
}

// ignoredObject accepts the place of a record in a bundle. The records themselves
// are decoded one by one afterwards.
type ignoredObject = map[string]ignoredValue

// ignoredValue is the type of an object's members; blankRecords leaves none.
type ignoredValue struct{}

func parseBundle(newest int, file string, value []byte, tree *hujson.Value) (*Snapshot, ident.Revision, jsonc.Faults) {
	envelope := new(bundle)
	document, faults := jsonc.Decode(file, blankRecords(value, tree), envelope)
	if len(faults) > 0 {
		return nil, 0, faults
	}
	records, ok := member(tree, "records").Value.(*hujson.Array)
	if !ok {
		return nil, 0, jsonc.Faults{document.At("records", "expected an array")}
	}
	var first *Snapshot
	var firstIndex int
	for i := range records.Elements {
		element := &records.Elements[i]
		prefix := fmt.Sprintf("records[%d].", i)
		if schemaOf(element) > newest {
			continue
		}
		if member(element, "revision") != nil {
			faults = append(faults, document.At("records", "%srevision: a record in a bundle has no revision of its own", prefix))
		}
		snapshot, _, found := parseOne(newest, file, value, prefix, element)
		faults = append(faults, found...)
		if snapshot == nil {
			continue
		}
		if first == nil {
			first, firstIndex = snapshot, i
			continue
		}
		for _, change := range Changes(first, snapshot) {
			faults = append(faults, document.At("records", "records[%d] differs from records[%d]: %s", i, firstIndex, change))
		}
	}
	if first == nil && len(faults) == 0 {
		faults = append(faults, document.At("records", "the bundle has no record of a known schema; this program reads schemas 1 to %d", newest))
	}
	return first, envelope.Revision, faults
}

// parseOne reads one record in the schema that it names.
func parseOne(newest int, file string, value []byte, prefix string, element *hujson.Value) (*Snapshot, ident.Revision, jsonc.Faults) {
	var faults jsonc.Faults
	var document *jsonc.Document
	var revision ident.Revision
	var decoded interface{ build(*builder) }
	switch schema := schemaOf(element); {
	case schema == 1 && newest >= 1:
		f := new(schema1)
		document, faults = jsonc.DecodeValue(file, value, element, f)
		revision, decoded = f.Revision, f
	case schema == 2 && newest >= 2:
		f := new(schema2)
		document, faults = jsonc.DecodeValue(file, value, element, f)
		revision, decoded = f.Revision, f
	default:
		return nil, 0, jsonc.Faults{unknownSchema(newest, file, value, prefix, element, schema)}
	}
	for i := range faults {
		faults[i].Path = prefix + faults[i].Path
	}
	if document == nil {
		return nil, 0, faults
	}
	b := newBuilder(document, prefix)
	decoded.build(b)
	if len(faults) == 0 {
		b.check()
	}
	faults = append(faults, b.faults...)
	if len(faults) > 0 {
		return nil, 0, faults
	}
	return b.snapshot, revision, nil
}

func unknownSchema(newest int, file string, value []byte, prefix string, element *hujson.Value, schema int) jsonc.Fault {
	var empty struct{}
	document, _ := jsonc.DecodeValue(file, value, element, &empty)
	if schema == 0 {
		f := document.At("schema", "the field is required and is a whole number from 1 to %d", newest)
		f.Path = prefix + f.Path
		return f
	}
	f := document.At("schema", unknownSchemaFormat, schema, newest)
	f.Path = prefix + f.Path
	return f
}

// schemaOf returns the schema number of a record, or 0 if it has no numeric schema
// field.
func schemaOf(v *hujson.Value) int {
	m := member(v, "schema")
	if m == nil {
		return 0
	}
	literal, ok := m.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return 0
	}
	return int(literal.Int())
}

func member(v *hujson.Value, name string) *hujson.Value {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range object.Members {
		if object.Members[i].Name.Value.(hujson.Literal).String() == name {
			return &object.Members[i].Value
		}
	}
	return nil
}

// blankRecords overwrites the members of a bundle's records with spaces, so that
// the bundle's own fields can be decoded with their positions unchanged.
func blankRecords(value []byte, tree *hujson.Value) []byte {
	records, ok := member(tree, "records").Value.(*hujson.Array)
	out := bytes.Clone(value)
	if !ok {
		return out
	}
	for i := range records.Elements {
		e := &records.Elements[i]
		if _, isObject := e.Value.(*hujson.Object); !isObject {
			continue
		}
		for j := e.StartOffset + 1; j < e.EndOffset-1; j++ {
			if out[j] != '\n' {
				out[j] = ' '
			}
		}
	}
	return out
}

// Equal reports whether two snapshots have the same content. It ignores the digests.
func Equal(a, b *Snapshot) bool {
	x, y := *a, *b
	x.Digest, y.Digest = message.Digest{}, message.Digest{}
	return reflect.DeepEqual(x, y)
}
