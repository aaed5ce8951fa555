package cascade

import (
	"testing"
	"time"
)

func BenchmarkPlan(b *testing.B) {
	p := NewPolicy(Config{})
	r := newPlanRequest(0.9)
	recordRatings(p, 500, 0.80, 0.93, 0.99)
	classes := []string{"contract draft", "member answer", "inspection summary", "repair quote"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.TaskClass = classes[i%len(classes)]
		p.Plan(time.Duration(i)*time.Millisecond, r, float64(i%997)/997)
	}
}
