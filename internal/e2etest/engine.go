package e2etest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Call is one completion that reached an engine.
type Call struct {
	ID string
	// Resume is the number of tokens that the caller has already; the answer begins
	// after them.
	Resume int
	// Closed is closed when the sidecar closes the connection or the call has
	// ended.
	Closed <-chan struct{}
}

// Engine is a minimal model engine: token n of every answer is the text "tn ".
type Engine struct {
	*httptest.Server
	// Calls receives each completion as it begins. Its capacity of 4,096 is above
	// the number of calls in a test.
	Calls chan Call
	// Canceled receives the id of each canceled request.
	Canceled chan string
	behavior Behavior
}

// Behavior says how an engine answers. It is not changed once the engine runs.
type Behavior struct {
	Tokens int
	// TokenInterval is the time between two tokens of a call.
	TokenInterval time.Duration
	// SharedSteps makes all calls emit their tokens at common times, the multiples of
	// TokenInterval, as an engine with continuous batching does. Otherwise each call times
	// its tokens from its own start.
	SharedSteps bool
	// DisconnectAfter is the number of tokens after which the engine closes the
	// connection of a call in the middle of the answer. Zero means never.
	DisconnectAfter int
	// Hold, if not nil, makes each call wait before the token HoldAt until the
	// channel is closed.
	Hold <-chan struct{}
	// HoldAt is the number of a token, from 1.
	HoldAt int
	// Slots is the number of slots in the load report; zero means 64.
	Slots int
	// Leaving returns the leaving flag of the load report; nil means false.
	Leaving func() bool
	// Padding is appended to each token's text.
	Padding string
	// CrashOn, if not empty, is a text in the body of requests that crash the engine: it
	// closes the connection without an answer and refuses new ones.
	CrashOn string
}

// completionBody holds the fields of a completion request that the engine reads.
type completionBody struct {
	Stream bool `json:"stream"`
	Resume int  `json:"anvilpoint_resume"`
}

type loadReport struct {
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// NewEngine starts an engine on loopback.
func NewEngine(b Behavior) *Engine {
	if b.Slots == 0 {
		b.Slots = 64
	}
	e := &Engine{Calls: make(chan Call, 4096), Canceled: make(chan string, 4096), behavior: b}
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.complete)
	router.GET("/v1/load", e.load)
	router.DELETE("/v1/requests/:id", func(_ http.ResponseWriter, _ *http.Request, p httprouter.Params) {
		e.Canceled <- p.ByName("id")
	})
	e.Server = httptest.NewServer(router)
	return e
}

// Close closes the engine's connections and stops it. Closing them first ends
// calls that wait at HoldAt, for which the server's own Close would wait.
func (e *Engine) Close() {
	e.CloseClientConnections()
	e.Server.Close()
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	leaving := e.behavior.Leaving != nil && e.behavior.Leaving()
	_ = json.NewEncoder(w).Encode(loadReport{Slots: e.behavior.Slots, Leaving: leaving})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil || !body.Stream {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.Calls <- Call{ID: r.Header.Get("X-Request-Id"), Resume: body.Resume, Closed: r.Context().Done()}
	if text := e.behavior.CrashOn; text != "" && bytes.Contains(data, []byte(text)) {
		_ = e.Listener.Close()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := body.Resume + 1; n <= e.behavior.Tokens; n++ {
		if !e.awaitToken(r, n, n-body.Resume) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "data: %s\n\n", EventData(n, e.behavior.Tokens, e.behavior.Padding))
		if control.Flush() != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// awaitToken waits until token n of the answer, the token inCall of this call, is
// due. False means that the call is to be aborted.
func (e *Engine) awaitToken(r *http.Request, n, inCall int) bool {
	b := e.behavior
	if b.DisconnectAfter > 0 && inCall > b.DisconnectAfter {
		return false
	}
	if b.Hold != nil && n == b.HoldAt {
		select {
		case <-b.Hold:
		case <-r.Context().Done():
			return false
		}
	}
	if b.TokenInterval == 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(b.timeToNextToken(time.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b Behavior) timeToNextToken(now time.Time) time.Duration {
	if !b.SharedSteps {
		return b.TokenInterval
	}
	return b.TokenInterval - time.Duration(now.UnixNano())%b.TokenInterval
}

// EventData returns the event data (a completion chunk) of token n of an answer with
// the given number of tokens.
func EventData(n, tokens int, padding string) string {
	finish := "null"
	if n == tokens {
		finish = `"stop"`
	}
	return fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"t%d %s"},"finish_reason":%s}]}`,
		n, padding, finish)
}

// AnswerText returns the text of a whole answer.
func AnswerText(tokens int, padding string) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		fmt.Fprintf(&b, "t%d %s", n, padding)
	}
	return b.String()
}
