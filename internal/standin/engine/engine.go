package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// mailboxCapacity is the number of messages that may wait for the engine's task.
const mailboxCapacity = 4096

// downloadStopTimeout bounds the wait for running downloads when the engine stops.
const downloadStopTimeout = time.Second

// ErrStopped means that the engine's task has ended.
var ErrStopped = errors.New("the model engine stand-in has stopped")

// Engine is the task that owns the batch, the prefix cache and the orders of
// one engine process.
type Engine struct {
	config    Config
	mailbox   *task.Mailbox[request]
	client    *http.Client
	downloads *task.Group

	batch  *batch
	cache  *prefixCache
	orders *orders
	// slowdown is the factor by which steps take longer; 1 is the normal speed.
	slowdown float64
	// leavingSince is zero unless the engine is leaving.
	leavingSince time.Time
	report       report
	acceptedLate uint64
}

// report is a load report with the time at which it was taken and the number of tokens
// produced until then.
type report struct {
	at     time.Time
	tokens uint64
	load   Load
}

// New returns an engine, which works once Run is called.
func New(c Config) *Engine {
	c = c.withDefaults()
	return &Engine{
		config:   c,
		mailbox:  task.NewMailbox[request](mailboxCapacity, task.Block),
		client:   &http.Client{Transport: &http.Transport{DialContext: dialer(c.Network)}},
		batch:    newBatch(c),
		cache:    newPrefixCache(c),
		orders:   newOrders(c),
		slowdown: 1,
	}
}

// Run runs the engine until the context ends. It then cancels every request.
func (e *Engine) Run(ctx context.Context) error {
	defer e.mailbox.Close()
	e.downloads = task.NewGroup(ctx)
	defer e.client.CloseIdleConnections()
	refresh := time.NewTicker(e.config.LoadReportLag)
	defer refresh.Stop()
	step := time.NewTimer(time.Hour)
	step.Stop()
	defer step.Stop()
	e.refresh(time.Now())
	for {
		select {
		case r := <-e.mailbox.Receive():
			r.serve(e, time.Now())
		case <-step.C:
			e.batch.finishStep(time.Now(), e.cache)
		case <-refresh.C:
			e.refresh(time.Now())
		case <-ctx.Done():
			e.batch.cancelAll(time.Now())
			return e.downloads.Stop(downloadStopTimeout)
		}
		if duration, started := e.batch.startStep(time.Now(), e.cache, e.slowdown); started {
			step.Reset(duration)
		}
	}
}

// refresh replaces the load report.
func (e *Engine) refresh(now time.Time) {
	rate := 0.0
	if elapsed := now.Sub(e.report.at).Seconds(); elapsed > 0 && !e.report.at.IsZero() {
		rate = float64(e.batch.tokensOut-e.report.tokens) / elapsed
	}
	e.report = report{at: now, tokens: e.batch.tokensOut, load: Load{
		Running:         len(e.batch.running),
		Queued:          len(e.batch.queue),
		Slots:           e.config.Slots,
		TokensPerSecond: rate,
		CachedPrefixes:  e.cache.len(),
		Leaving:         !e.leavingSince.IsZero(),
	}}
}

// Slow sets the factor by which steps take longer; 1 is the normal speed.
func (e *Engine) Slow(ctx context.Context, factor float64) error {
	return e.command(ctx, func(reply chan<- struct{}) request { return &setSlowdown{factor: factor, reply: reply} })
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(ctx context.Context, leaving bool) error {
	return e.command(ctx, func(reply chan<- struct{}) request { return &setLeaving{leaving: leaving, reply: reply} })
}

// command sends a message to the engine's task and waits until it has taken effect.
func (e *Engine) command(ctx context.Context, message func(chan<- struct{}) request) error {
	if _, ok := task.Ask(ctx, e.mailbox, message); !ok {
		return ErrStopped
	}
	return nil
}

// State returns the current state of the engine, which has no lag.
func (e *Engine) State(ctx context.Context) (State, error) {
	s, ok := task.Ask(ctx, e.mailbox, func(reply chan<- State) request { return &askState{reply: reply} })
	if !ok {
		return State{}, ErrStopped
	}
	return s, nil
}

// Load is the answer to GET /v1/load.
type Load struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	Slots           int     `json:"slots"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	CachedPrefixes  int     `json:"cached_prefixes"`
	Leaving         bool    `json:"leaving"`
	AgeMS           int64   `json:"age_ms"`
}

// State is the answer to GET /v1/state.
type State struct {
	Server  ident.ServerID `json:"server"`
	Role    string         `json:"role"`
	Models  []Model        `json:"models"`
	Leaving bool           `json:"leaving"`
	// Fencing is the highest fencing token of an executed order.
	Fencing       ident.FencingToken `json:"fencing"`
	ChecksFencing bool               `json:"checks_fencing"`
	Orders        OrderCounts        `json:"orders"`
	Requests      RequestCounts      `json:"requests"`
}

// RequestCounts counts completions, as ground truth for tests.
type RequestCounts struct {
	Accepted uint64 `json:"accepted"`
	Finished uint64 `json:"finished"`
	Canceled uint64 `json:"canceled"`
	Tokens   uint64 `json:"tokens"`
	// AcceptedLate counts completions that were accepted more than 2 s after the engine
	// began to leave.
	AcceptedLate uint64 `json:"accepted_late"`
}
