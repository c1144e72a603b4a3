// Package engine is the stand-in of a model engine. It batches continuously:
// every step produces one token for each decoding request and works off a part
// of the waiting prompts, and the step takes longer the more it does. Its
// answers come from package answer.
package engine

import (
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
)

// Model is a model that the engine has loaded or is loading.
type Model struct {
	Name     ident.ModelName `json:"name"`
	Version  string          `json:"version"`
	Adapters []string        `json:"adapters"`
	// Loading is the version being loaded, empty if there is none.
	Loading string `json:"loading,omitempty"`
}

// Config describes one engine process. Zero values are replaced by those of
// Defaults, except where zero has a meaning of its own.
type Config struct {
	Server ident.ServerID
	Models []Model
	Role   string
	// Slots is the number of requests in one batch.
	Slots int
	// QueueLimit is the number of requests that wait before further ones are
	// refused with 429.
	QueueLimit int
	// PrefillRate is in tokens per second. PrefillChunk bounds the prompt tokens
	// of one step.
	PrefillRate  float64
	PrefillChunk int
	// StepBase is the time of a step with an empty batch; each decoding request
	// adds StepPerRequest.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens.
	CacheBlocks int
	// LoadLag is the time between two refreshes of the load report.
	LoadLag time.Duration
	// EventLag is how late a cache event is published. EventLoss is the share of
	// cache events that are never published, from 0 to 1; zero loses none.
	EventLag  time.Duration
	EventLoss float64
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// WeightStore is the base URL of the weight store. Without it a load takes
	// LoadTime.
	WeightStore string
	LoadTime    time.Duration
	// Seed drives the loss of cache events.
	Seed    uint64
	Network network.Network
	// Group serves the engine's part of an expert-parallel group under
	// /v1/group. Nil answers 404.
	Group http.Handler
}

// Defaults returns the configuration of the dev command's engines: about 45
// tokens a second for one request, and 1,300 with all slots in use.
func Defaults() Config {
	return Config{
		Role:           "serve",
		Slots:          32,
		QueueLimit:     1024,
		PrefillRate:    8000,
		PrefillChunk:   512,
		StepBase:       20 * time.Millisecond,
		StepPerRequest: 150 * time.Microsecond,
		CacheBlocks:    4096,
		LoadLag:        250 * time.Millisecond,
		EventLag:       time.Second,
		EventLoss:      0.05,
		ChecksFencing:  true,
		LoadTime:       2 * time.Second,
		Network:        network.System{},
	}
}

func (c Config) withDefaults() Config {
	d := Defaults()
	fill(&c.Role, d.Role)
	fill(&c.Slots, d.Slots)
	fill(&c.QueueLimit, d.QueueLimit)
	fill(&c.PrefillRate, d.PrefillRate)
	fill(&c.PrefillChunk, d.PrefillChunk)
	fill(&c.StepBase, d.StepBase)
	fill(&c.StepPerRequest, d.StepPerRequest)
	fill(&c.CacheBlocks, d.CacheBlocks)
	fill(&c.LoadLag, d.LoadLag)
	fill(&c.EventLag, d.EventLag)
	fill(&c.LoadTime, d.LoadTime)
	if c.Network == nil {
		c.Network = d.Network
	}
	return c
}

func fill[V comparable](field *V, value V) {
	var zero V
	if *field == zero {
		*field = value
	}
}
