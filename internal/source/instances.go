package source

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/task"
)

// listInterval is the mean time between two reads of the instance list.
const listInterval = time.Second

// intervalPerInstance slows the reads of a long list down. At target size the
// list is about 370 KB; every process reads it every 3 min, at 2 KB/s.
const intervalPerInstance = 60 * time.Millisecond

// shortList is the length up to which the list is read at the full rate.
const shortList = 50

// maxListBytes bounds the answer of the instance list.
const maxListBytes = 4 << 20

// InstanceState is what the instance list says of an instance.
type InstanceState string

// The states of an instance in the list.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is one line of the instance list.
type Instance struct {
	Name    ident.InstanceID    `json:"name"`
	Kind    string              `json:"kind"`
	Domain  ident.FailureDomain `json:"domain"`
	Address string              `json:"address"`
	State   InstanceState       `json:"state"`
}

// List is one reading of the instance list.
type List struct {
	Instances []Instance
	// Err is set if the list did not answer.
	Err error
}

// ListPoll is the task that reads the instance list.
type ListPoll struct {
	// URL is the base URL of the instance list.
	URL    string
	Client *http.Client
	// Deliver receives each reading and each failure. It may block.
	Deliver func(ctx context.Context, l List)
	// Random spreads the reads. The task owns it.
	Random *rand.Rand
}

// Run polls until the context ends.
func (p *ListPoll) Run(ctx context.Context) error {
	for {
		instances, err := p.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		p.Deliver(ctx, List{Instances: instances, Err: err})
		pause := max(listInterval, time.Duration(len(instances)-shortList)*intervalPerInstance)
		if !task.Sleep(ctx, jitter(p.Random, pause)) {
			return nil
		}
	}
}

func (p *ListPoll) read(ctx context.Context) ([]Instance, error) {
	limited, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	response, err := get(limited, p.Client, p.URL+"/v1/instances")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("instance list answered %s", response.Status)
	}
	var instances []Instance
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&instances)
	return instances, errors.Wrap(err, "instance list")
}

// Client returns an HTTP client that dials through the network.
func Client(n network.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return n.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}
