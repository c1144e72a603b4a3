package chart_test

import (
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
)

const leaseFile = `{
  "name": "lease", "initial": "held", "events": ["renew", "expire"],
  "states": {
    "held": {
      "after": [{"delay": "3s", "event": "expire"}],
      "on": {"renew": [{"target": "held"}], "expire": [{"target": "lost", "actions": ["stop"]}]}
    },
    "lost": {"final": true}
  }
}`

// A lease that is lost when it is not renewed in time.
func Example() {
	c, err := chart.Parse("lease", []byte(leaseFile))
	if err != nil {
		fmt.Println(err)
		return
	}
	lease, err := chart.Bind(c, chart.Binding[string]{
		Actions: map[string]func(string){"stop": func(name string) { fmt.Println(name, "stops") }},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Unix(0, 0)
	i := lease.New(start, "worker")
	i.Fire(start.Add(2*time.Second), "renew")
	fmt.Println(i.Tick(start.Add(4*time.Second)), i.State())
	fmt.Println(i.Tick(start.Add(5*time.Second)), i.State())
	// Output:
	// 0 held
	// worker stops
	// 1 lost
}
