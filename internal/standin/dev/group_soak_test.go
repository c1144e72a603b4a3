package dev_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/standin/dev"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
)

var (
	groupSeed   = flag.Uint64("dev.group-seed", 1, "seed of the random faults of a group")
	groupFaults = flag.Int("dev.group-faults", 6, "number of random faults of a group")
	groupPause  = flag.Duration("dev.group-pause", 3*time.Second, "longest pause between two faults")
	groupLog    = flag.Bool("dev.group-log", false, "write the log of the processes to standard error")
)

// formationTimeout is far longer than a group needs to form after the last fault.
const formationTimeout = time.Minute

// Guards against a group that never forms again after crashes, restarts, pauses and slow
// ranks of its engines and sidecars, alone and overlapping.
func TestGroupFormsAgainAfterRandomFaults(t *testing.T) {
	random := rand.New(rand.NewPCG(*groupSeed, 1))
	c := startProduct(t, func(o *dev.Options) {
		o.Replicas = 6
		if *groupLog {
			o.Logger = zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Logger()
		}
	})
	awaitSteps(t, c)
	for range *groupFaults {
		f := randomFault(random)
		t.Logf("%s of %s for %.1f s", f.Kind, f.Target, f.Seconds)
		fault(t, c, f)
		time.Sleep(time.Duration(random.Int64N(int64(*groupPause))))
	}
	time.Sleep(3 * time.Second)
	fault(t, c, dev.Fault{Target: "all", Kind: dev.FaultHeal})
	awaitSteps(t, c)
}

func randomFault(random *rand.Rand) dev.Fault {
	kinds := []string{dev.FaultCrash, dev.FaultRestart, dev.FaultPause, dev.FaultSlow, dev.FaultPartition}
	f := dev.Fault{Kind: kinds[random.IntN(len(kinds))], Target: fmt.Sprint("replica-", random.IntN(4))}
	if random.IntN(2) == 0 {
		f.Target = "sidecar-" + f.Target
	}
	if f.Kind == dev.FaultPartition {
		f.Target, f.Direction = fmt.Sprint("sidecar-replica-", random.IntN(4)), []string{"both", "out", "in"}[random.IntN(3)]
	}
	if f.Kind != dev.FaultRestart {
		f.Seconds = 0.2 + 2.5*random.Float64()
	}
	return f
}

// awaitSteps waits until all groups have run further steps, and checks that no step ran on
// two maps.
func awaitSteps(t *testing.T, c *dev.Cluster) {
	t.Helper()
	first, deadline := groupTruth(t, c), time.Now().Add(formationTimeout)
	for {
		forming := false
		for n, g := range groupTruth(t, c) {
			must.SliceEmpty(t, g.MapMismatches)
			forming = forming || g.Steps <= first[n].Steps+10
		}
		if !forming {
			return
		}
		if time.Now().After(deadline) {
			_, instances := call(t, http.MethodGet, c.AdminURL()+"/instances", "")
			t.Fatalf("the group has not formed again within %s: %+v\n%s", formationTimeout, groupTruth(t, c), instances)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func groupTruth(t *testing.T, c *dev.Cluster) []group.Truth {
	t.Helper()
	_, text := call(t, http.MethodGet, c.AdminURL()+"/truth/steps", "")
	var all []group.Truth
	for line := range strings.Lines(text) {
		var one group.Truth
		must.NoError(t, json.Unmarshal([]byte(line), &one))
		all = append(all, one)
	}
	must.SliceNotEmpty(t, all)
	return all
}
