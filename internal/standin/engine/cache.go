package engine

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilpoint/anvilpoint/internal/standin/answer"
)

// The tokenizer of the stand-in: four bytes are a token, and a cached block has
// 64 tokens.
const (
	bytesPerToken = 4
	// BlockTokens is the number of tokens of one cached block.
	BlockTokens = 64
	blockBytes  = BlockTokens * bytesPerToken
)

// keptEvents bounds the cache events that a reader can still ask for.
const keptEvents = 8192

// CacheEvent tells that a block of a prompt was cached or evicted. Blocks are
// chained: equal hashes mean equal prompts up to the end of the block.
type CacheEvent struct {
	// Sequence grows by one per event; a gap is a lost event.
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    uint64 `json:"block,string"`
	visible  time.Time
	lost     bool
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
)

// prefixCache keeps the most recently used blocks.
type prefixCache struct {
	limit  int
	lag    time.Duration
	loss   float64
	random *rand.Rand
	recent *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
	last   uint64
}

func newPrefixCache(c Config) *prefixCache {
	return &prefixCache{
		limit:  c.CacheBlocks,
		lag:    c.EventLag,
		loss:   c.EventLoss,
		random: rand.New(rand.NewPCG(c.Seed, uint64(len(c.Server)))),
		recent: list.New(),
		blocks: make(map[uint64]*list.Element),
	}
}

func (p *prefixCache) len() int { return len(p.blocks) }

// use returns how many leading blocks are cached and marks them as used.
func (p *prefixCache) use(blocks []uint64) int {
	for n, block := range blocks {
		element, ok := p.blocks[block]
		if !ok {
			return n
		}
		p.recent.MoveToFront(element)
	}
	return len(blocks)
}

func (p *prefixCache) store(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		if element, ok := p.blocks[block]; ok {
			p.recent.MoveToFront(element)
			continue
		}
		p.blocks[block] = p.recent.PushFront(block)
		p.publish(now, CacheStored, block)
	}
	for len(p.blocks) > p.limit {
		oldest := p.recent.Remove(p.recent.Back()).(uint64)
		delete(p.blocks, oldest)
		p.publish(now, CacheRemoved, oldest)
	}
}

func (p *prefixCache) publish(now time.Time, kind string, block uint64) {
	p.last++
	p.events = append(p.events, CacheEvent{
		Sequence: p.last, Kind: kind, Block: block,
		visible: now.Add(p.lag), lost: p.random.Float64() < p.loss,
	})
	if len(p.events) > 2*keptEvents {
		p.events = append([]CacheEvent(nil), p.events[len(p.events)-keptEvents:]...)
	}
}

// after lists the events that readers may see by now.
func (p *prefixCache) after(now time.Time, sequence uint64) []CacheEvent {
	seen := []CacheEvent{}
	for _, e := range p.events {
		if e.Sequence > sequence && !e.lost && !e.visible.After(now) {
			seen = append(seen, e)
		}
	}
	return seen
}

// promptTokens is the length of a prompt, at least 1.
func promptTokens(messages []answer.Message) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Role) + len(m.Content)
	}
	return max(1, bytes/bytesPerToken)
}

// promptBlocks returns the chained hashes of the whole blocks of a prompt.
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
