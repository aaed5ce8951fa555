package lru

import "testing"

// Guards against unbounded growth and against eviction of a recently used key.
func TestEviction(t *testing.T) {
	c := New[string, int](2)
	c.Put("a", 1)
	c.Put("b", 2)
	c.Put("a", 3)
	c.Get("a")
	c.Put("c", 4)
	if _, ok := c.Get("b"); ok || c.Len() != 2 {
		t.Errorf("b is cached: %v, %d keys; want the least recently used key evicted", ok, c.Len())
	}
	if v, ok := c.Get("a"); !ok || v != 3 {
		t.Errorf("a = %d, %v; want 3", v, ok)
	}
	c.Delete("c")
	c.Delete("absent")
	c.DeleteFunc(func(_ string, v int) bool { return v == 3 })
	if c.Len() != 0 {
		t.Errorf("%d keys left", c.Len())
	}
}
