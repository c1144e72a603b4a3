package engine

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilpoint/anvilpoint/internal/standin/answer"
)

const (
	// bytesPerToken is the length of a prompt token; the stand-in has no tokenizer.
	bytesPerToken = 4
	// BlockTokens is the number of tokens of one cached block.
	BlockTokens = 64
	blockBytes  = BlockTokens * bytesPerToken
)

// minKeptEvents is the number of latest cache events that can always be read. Older ones
// are discarded when twice as many are held.
const minKeptEvents = 8192

// CacheEvent reports that a block of a prompt was cached or evicted. A block's hash
// includes that of the block before it, so that equal hashes mean equal prompts up to the
// end of the block.
type CacheEvent struct {
	// Sequence is the number of the event; a gap means a lost event.
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    uint64 `json:"block,string"`
	// visibleAt is when the event is published; a lost event never is.
	visibleAt time.Time
	lost      bool
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
)

// prefixCache is a least-recently-used cache of prompt blocks. It records an event for
// each block that it stores or evicts.
type prefixCache struct {
	capacity  int
	eventLag  time.Duration
	eventLoss float64
	random    *rand.Rand
	// recency holds the blocks, the most recently used first.
	recency      *list.List
	blocks       map[uint64]*list.Element
	events       []CacheEvent
	lastSequence uint64
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{
		capacity:  c.CacheBlocks,
		eventLag:  c.EventLag,
		eventLoss: c.EventLoss,
		random:    rand.New(rand.NewPCG(c.Seed, uint64(len(c.Server)))),
		recency:   list.New(),
		blocks:    make(map[uint64]*list.Element),
	}
}

func (p *prefixCache) len() int { return len(p.blocks) }

// matchPrefix returns how many leading blocks are cached and marks them as recently used.
func (p *prefixCache) matchPrefix(blocks []uint64) int {
	for n, block := range blocks {
		element, ok := p.blocks[block]
		if !ok {
			return n
		}
		p.recency.MoveToFront(element)
	}
	return len(blocks)
}

// store caches the blocks and evicts the least recently used ones beyond the capacity.
func (p *prefixCache) store(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		if element, ok := p.blocks[block]; ok {
			p.recency.MoveToFront(element)
			continue
		}
		p.blocks[block] = p.recency.PushFront(block)
		p.publish(now, CacheStored, block)
	}
	for len(p.blocks) > p.capacity {
		oldest := p.recency.Remove(p.recency.Back()).(uint64)
		delete(p.blocks, oldest)
		p.publish(now, CacheRemoved, oldest)
	}
}

// publish records an event, which becomes visible after the event lag or is lost.
func (p *prefixCache) publish(now time.Time, kind string, block uint64) {
	p.lastSequence++
	p.events = append(p.events, CacheEvent{
		Sequence: p.lastSequence, Kind: kind, Block: block,
		visibleAt: now.Add(p.eventLag), lost: p.random.Float64() < p.eventLoss,
	})
	if len(p.events) > 2*minKeptEvents {
		p.events = append([]CacheEvent(nil), p.events[len(p.events)-minKeptEvents:]...)
	}
}

// eventsAfter returns the visible events with a greater sequence number.
func (p *prefixCache) eventsAfter(now time.Time, sequence uint64) []CacheEvent {
	visible := []CacheEvent{}
	for _, e := range p.events {
		if e.Sequence > sequence && !e.lost && !e.visibleAt.After(now) {
			visible = append(visible, e)
		}
	}
	return visible
}

// promptTokens returns the number of tokens of a prompt, at least 1.
func promptTokens(messages []answer.Message) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Role) + len(m.Content)
	}
	return max(1, bytes/bytesPerToken)
}

// promptBlocks returns the chained hashes of the complete blocks of a prompt.
func promptBlocks(model string, messages []answer.Message) []uint64 {
	var text []byte
	for _, m := range messages {
		text = append(append(text, m.Role...), m.Content...)
	}
	var blocks []uint64
	chain := xxhash.Sum64String(model)
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		link := binary.LittleEndian.AppendUint64(nil, chain)
		chain = xxhash.Sum64(append(link, text[:blockBytes]...))
		blocks = append(blocks, chain)
	}
	return blocks
}
