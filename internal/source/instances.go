package source

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/httpclient"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/task"
)

// listInterval is the mean time between two reads of the instance list.
const listInterval = time.Second

// intervalPerInstance is the time between two reads for each instance above
// maxFullRateInstances. At target size the list is about 370 KB, and every process
// reads it every 3 min, which is 2 KB/s.
const intervalPerInstance = 60 * time.Millisecond

// maxFullRateInstances is the number of instances up to which the list is read
// every listInterval.
const maxFullRateInstances = 50

// maxListBytes is the maximum size of the instance list's answer.
const maxListBytes = 4 << 20

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The states of an instance in the list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one item of the instance list.
type Instance struct {
	Name    ident.InstanceID    `json:"name"`
	Kind    string              `json:"kind"`
	Domain  ident.FailureDomain `json:"domain"`
	Address string              `json:"address"`
	State   InstanceState       `json:"state"`
}

// List is the result of one read of the instance list.
type List struct {
	Instances []Instance
	// Err is set if the read failed.
	Err error
}

// ListPoller is the task that reads the instance list.
type ListPoller struct {
	// URL is the base URL of the instance list.
	URL    string
	Client *http.Client
	// Deliver receives the result of each read. It may block.
	Deliver func(ctx context.Context, l List)
	// Random is the source of jitter between reads. The task owns it.
	Random *rand.Rand
}

// Run polls until the context ends.
func (p *ListPoller) Run(ctx context.Context) error {
	for {
		instances, err := p.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		p.Deliver(ctx, List{Instances: instances, Err: err})
		pause := max(listInterval, time.Duration(len(instances)-maxFullRateInstances)*intervalPerInstance)
		if !task.Sleep(ctx, jitter(p.Random, pause)) {
			return nil
		}
	}
}

func (p *ListPoller) read(ctx context.Context) ([]Instance, error) {
	limited, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	response, err := get(limited, p.Client, p.URL+"/v1/instances")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read %s/v1/instances: instance list answered %s", p.URL, response.Status)
	}
	var instances []Instance
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&instances)
	return instances, errors.Wrapf(err, "read %s/v1/instances: decode the instance list", p.URL)
}

// NewClient returns an HTTP client that dials through the network.
func NewClient(n network.Network) *http.Client {
	return httpclient.New(httpclient.Config{Dial: n.Dial, MaxIdle: 256, IdleTimeout: time.Minute})
}
