package record

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Encode writes a snapshot as a record of the given schema, without a revision.
// Parse reads back an equal snapshot.
func Encode(schema int, s *Snapshot) ([]byte, error) {
	switch schema {
	case 1:
		return json.MarshalIndent(encode1(s), "", "  ")
	case 2:
		return json.MarshalIndent(encode2(s), "", "  ")
	default:
		return nil, errors.Errorf(unknownSchemaFormat, schema, NewestSchema)
	}
}

// EncodeBundle writes a snapshot in every known schema, for readers of different
// program versions. The bundle has no revision. It is not indented, since two
// indented records of the design's target size exceed MaxValueBytes.
func EncodeBundle(s *Snapshot) ([]byte, error) {
	return json.Marshal(struct {
		Records []any `json:"records"`
	}{[]any{encode1(s), encode2(s)}})
}

// SetRevision sets the revision of a record or bundle and leaves the rest, including
// comments, unchanged. The publisher must pass a revision that is greater than
// every earlier one.
func SetRevision(value []byte, revision ident.Revision) ([]byte, error) {
	tree, err := hujson.Parse(value)
	if err != nil {
		return nil, errors.Wrap(err, "set record revision")
	}
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		return nil, errors.New("set record revision: the document is not a JSON object")
	}
	stamped := hujson.Value{Value: hujson.Uint(uint64(revision))}
	if m := member(&tree, "revision"); m != nil {
		m.Value = stamped.Value
		return tree.Pack(), nil
	}
	object.Members = append([]hujson.ObjectMember{{
		Name:  hujson.Value{Value: hujson.String("revision")},
		Value: stamped,
	}}, object.Members...)
	return tree.Pack(), nil
}
