package once

import (
	"context"
	"testing"
	"time"

	"hyssoploom/internal/faketest"
)

var booking = Reservation{Workspace: "jylland", Key: "k/1", RequestID: "r1", BodyHash: "h1", Owner: "e1", Timeout: time.Minute}

// Guards against a life of a record that ends without the stored answer.
func TestLifeOfARecord(t *testing.T) {
	ctx, log := context.Background(), New(new(faketest.Store))
	res, err := log.Reserve(ctx, booking)
	if err != nil || res.Outcome != Reserved {
		t.Fatalf("Reserve() = %+v, %v", res, err)
	}
	if got, err := log.Start(ctx, "jylland", "k/1", res.Nonce, "a1"); err != nil || got != Started {
		t.Fatalf("Start() = %v, %v", got, err)
	}
	if err := log.Finish(ctx, "jylland", "k/1", res.Nonce, Answer{Status: 201, Body: []byte("booked")}); err != nil {
		t.Fatal(err)
	}
	res, err = log.Reserve(ctx, booking)
	if err != nil || res.Outcome != Finished || string(res.Answer.Body) != "booked" {
		t.Fatalf("duplicate: Reserve() = %+v, %v", res, err)
	}
}
