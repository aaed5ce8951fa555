package config

import "testing"

// Guards against durations that change when they are encoded and decoded, and
// against text that is no duration.
func TestDurationText(t *testing.T) {
	var d Duration
	if err := d.UnmarshalText([]byte("1m30s")); err != nil {
		t.Fatal(err)
	}
	b, err := d.MarshalText()
	if err != nil || string(b) != "1m30s" {
		t.Fatalf("MarshalText() = %q, %v; want 1m30s", b, err)
	}
	if err := d.UnmarshalText([]byte("soon")); err == nil {
		t.Fatal("UnmarshalText accepted \"soon\"")
	}
}
