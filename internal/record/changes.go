package record

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Changes lists what differs between two snapshots, one line per object, in
// alphabetical order. It ignores the digests.
func Changes(before, after *Snapshot) []string {
	var out []string
	out = append(out, changesIn("account", before.Accounts, after.Accounts)...)
	out = append(out, changesIn("class", before.Classes, after.Classes)...)
	out = append(out, changesIn("group", before.Groups, after.Groups)...)
	out = append(out, changesIn("model", before.Models, after.Models)...)
	out = append(out, changesIn("replica", before.Replicas, after.Replicas)...)
	out = append(out, changesIn("service", before.Services, after.Services)...)
	if before.BookingShare != after.BookingShare {
		out = append(out, fmt.Sprintf("booking share: %v to %v", before.BookingShare, after.BookingShare))
	}
	if before.WeightStoreRate != after.WeightStoreRate {
		out = append(out, fmt.Sprintf("weight store rate: %d to %d", before.WeightStoreRate, after.WeightStoreRate))
	}
	return out
}

func changesIn[K ~string, V any](kind string, before, after map[K]V) []string {
	var out []string
	for k, old := range before {
		now, ok := after[k]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s: removed", kind, k))
		case !reflect.DeepEqual(old, now):
			out = append(out, fmt.Sprintf("%s %s: %s", kind, k, changedFields(old, now)))
		}
	}
	for k := range after {
		if _, ok := before[k]; !ok {
			out = append(out, fmt.Sprintf("%s %s: added", kind, k))
		}
	}
	sort.Strings(out)
	return out
}

// changedFields names the fields of a struct that differ, with both values. Key
// hashes are counted and not shown.
func changedFields(before, after any) string {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	var out []string
	for i := range a.NumField() {
		name, x, y := a.Type().Field(i).Name, a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		if name == "KeyHashes" {
			out = append(out, fmt.Sprintf("key hashes changed (%d to %d)", a.Field(i).Len(), b.Field(i).Len()))
			continue
		}
		out = append(out, fmt.Sprintf("%s %v to %v", name, x, y))
	}
	return strings.Join(out, ", ")
}
