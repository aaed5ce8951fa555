// Package lru provides a bounded cache that evicts the least recently used key.
package lru

import (
	"container/list"
	"sync"
)

// Cache maps keys to values and evicts the least recently used key when it is
// full. It is safe for concurrent use.
type Cache[K comparable, V any] struct {
	mu    sync.Mutex
	limit int
	order *list.List // front: most recently used
	items map[K]*list.Element
}

type item[K comparable, V any] struct {
	key   K
	value V
}

// New returns a cache that holds at most limit keys, at least one.
func New[K comparable, V any](limit int) *Cache[K, V] {
	return &Cache[K, V]{limit: max(limit, 1), order: list.New(), items: make(map[K]*list.Element)}
}

// Get returns the value of key and marks the key as most recently used.
func (c *Cache[K, V]) Get(key K) (V, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.items[key]
	if !ok {
		var zero V
		return zero, false
	}
	c.order.MoveToFront(e)
	return e.Value.(*item[K, V]).value, true
}

// Put sets the value of key, marks the key as most recently used, and evicts the
// least recently used key if the limit is exceeded.
func (c *Cache[K, V]) Put(key K, value V) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.items[key]; ok {
		e.Value.(*item[K, V]).value = value
		c.order.MoveToFront(e)
		return
	}
	c.items[key] = c.order.PushFront(&item[K, V]{key, value})
	if c.order.Len() > c.limit {
		c.remove(c.order.Back())
	}
}

// Delete removes key.
func (c *Cache[K, V]) Delete(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.items[key]; ok {
		c.remove(e)
	}
}

// DeleteFunc deletes every key for which drop returns true.
func (c *Cache[K, V]) DeleteFunc(drop func(K, V) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if it := e.Value.(*item[K, V]); drop(it.key, it.value) {
			c.remove(e)
		}
		e = next
	}
}

// Len returns the number of keys.
func (c *Cache[K, V]) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.Len()
}

func (c *Cache[K, V]) remove(e *list.Element) {
	c.order.Remove(e)
	delete(c.items, e.Value.(*item[K, V]).key)
}
