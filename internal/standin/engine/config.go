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

// Config describes one engine process. Zero values are replaced by those of Defaults,
// except in EventLoss, ChecksFencing and Seed, where zero is a valid value.
type Config struct {
	Server ident.ServerID
	Models []Model
	Role   string
	// Slots is the number of requests in one batch.
	Slots int
	// QueueLimit is the number of requests that wait before further ones are
	// refused with 429.
	QueueLimit int
	// PrefillRate is in tokens per second. PrefillChunk bounds the tokens that one
	// step prefills.
	PrefillRate  float64
	PrefillChunk int
	// StepBase is the duration of a step with an empty batch; each decoding request adds
	// StepPerRequest.
	StepBase       time.Duration
	StepPerRequest time.Duration
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens.
	CacheBlocks int
	// LoadReportLag is the time between two refreshes of the load report and thus
	// bounds its age.
	LoadReportLag time.Duration
	// EventLag is the time after which a cache event is published. EventLoss is the share
	// of cache events that are never published, from 0 to 1.
	EventLag  time.Duration
	EventLoss float64
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// WeightStore is the base URL of the weight store. If it is empty, loading a model or
	// adapter takes LoadTime.
	WeightStore string
	LoadTime    time.Duration
	// Seed seeds the random choice of the lost cache events.
	Seed    uint64
	Network network.Network
	// Group serves the engine's part of an expert-parallel group under
	// /v1/group. If it is nil, these paths answer 404.
	Group http.Handler
}

// Defaults returns the configuration of the dev command's engines: about 45 tokens per
// second for one request and 1,300 in total with all slots in use.
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
		LoadReportLag:  250 * time.Millisecond,
		EventLag:       time.Second,
		EventLoss:      0.05,
		ChecksFencing:  true,
		LoadTime:       2 * time.Second,
		Network:        network.System{},
	}
}

func (c Config) withDefaults() Config {
	d := Defaults()
	setDefault(&c.Role, d.Role)
	setDefault(&c.Slots, d.Slots)
	setDefault(&c.QueueLimit, d.QueueLimit)
	setDefault(&c.PrefillRate, d.PrefillRate)
	setDefault(&c.PrefillChunk, d.PrefillChunk)
	setDefault(&c.StepBase, d.StepBase)
	setDefault(&c.StepPerRequest, d.StepPerRequest)
	setDefault(&c.CacheBlocks, d.CacheBlocks)
	setDefault(&c.LoadReportLag, d.LoadReportLag)
	setDefault(&c.EventLag, d.EventLag)
	setDefault(&c.LoadTime, d.LoadTime)
	if c.Network == nil {
		c.Network = d.Network
	}
	return c
}

func setDefault[V comparable](field *V, value V) {
	var zero V
	if *field == zero {
		*field = value
	}
}
