package entry

import (
	"context"
	"net/http"

	"hyssoploom/cascade"
	"hyssoploom/dialect"
)

// answer is the answer of one stage.
type answer struct {
	stage        int
	model        string
	version      string
	text         string
	tokensIn     int64
	tokensOut    int64
	finishReason string
	backend      string // backend server that produced the last part
}

// run runs the stages of the request, starting with the planned one, until an answer
// is accepted, and writes that answer to out.
func (ch *chat) run(ctx context.Context, out *output) *apiError {
	plan := ch.plan()
	var best *answer
	current, gated, audit := plan.Start, plan.Gate, plan.Audit
	for {
		result, err := ch.runStage(ctx, current, out, gated)
		if err != nil {
			if best != nil {
				// The request was escalated and the next stage failed; the answer of
				// the previous stage is better than none.
				return ch.release(ctx, out, best, gated)
			}
			return err
		}
		best = result
		if !gated {
			ch.rateInBackgroundIfNeeded(ctx, plan, result, audit)
			return ch.release(ctx, out, result, false)
		}
		step := ch.rateAndDecide(ctx, plan, result)
		if step.Release {
			return ch.release(ctx, out, result, true)
		}
		ch.entry.metrics.Add("escalations", 1)
		current, gated, audit = step.To, step.Gate, step.Audit
	}
}

// plan returns the cascade policy's plan for the request. A single model needs no
// plan.
func (ch *chat) plan() cascade.Plan {
	if ch.cascade == nil {
		return cascade.Plan{}
	}
	request := cascade.PlanRequest{Workspace: ch.workspace.Name, TaskClass: ch.taskClass, Cascade: ch.cascade}
	for _, st := range ch.stages {
		price := int64(0)
		if model, ok := ch.view.Models[st.model]; ok {
			if version, ok := model.Version(st.version); ok {
				price = version.PriceOut
			}
		}
		request.Stages = append(request.Stages, cascade.Stage{
			Model: st.model, Version: st.version, Price: price,
			Available: ch.entry.links.serving(st.model, st.version),
		})
	}
	plan := ch.entry.policy.plan(request, ch.entry.uniform())
	// If no stage is available, start with the first one, whose attempt waits for a
	// backend server.
	plan.Start = max(plan.Start, 0)
	return plan
}

// rateAndDecide waits for the rating of a gated answer and returns the cascade
// policy's decision on it.
func (ch *chat) rateAndDecide(ctx context.Context, plan cascade.Plan, a *answer) cascade.Decision {
	rating := ch.entry.ratings.rate(ctx, ch.ratingJob(plan, a))
	return ch.entry.policy.next(plan, a.stage, rating)
}

// rateInBackgroundIfNeeded has an answer that is not gated rated in the background if
// the plan asks for an audit or a version test needs the rating.
func (ch *chat) rateInBackgroundIfNeeded(ctx context.Context, plan cascade.Plan, a *answer, audit bool) {
	if audit || ch.entry.health.NeedsRating(versionKey(a.model, a.version)) {
		ch.entry.ratings.rateInBackground(ctx, ch.ratingJob(plan, a))
	}
}

func (ch *chat) ratingJob(plan cascade.Plan, a *answer) ratingJob {
	wait := defaultRatingWait
	if ch.cascade != nil && ch.cascade.RatingWait > 0 {
		wait = ch.cascade.RatingWait.AsDuration()
	}
	return ratingJob{
		wait:    wait,
		cascade: ch.cascade != nil,
		stage:   a.stage,
		start:   plan.Start,
		backend: a.backend,
		request: dialect.RateRequest{
			RequestID: ch.requestID,
			Workspace: ch.workspace.Name,
			TaskClass: ch.taskClass,
			Model:     a.model,
			Version:   a.version,
			Prompt:    ch.prompt(),
			Answer:    a.text,
		},
	}
}

// release completes the answer to the caller once its charge is durable or the wait
// for that has timed out. If buffered is set, no part of the answer was sent yet.
func (ch *chat) release(ctx context.Context, out *output, a *answer, buffered bool) *apiError {
	if buffered || !out.streaming() {
		if err := out.write(a.text, a); err != nil {
			return callerGoneError()
		}
	}
	ch.entry.waitDurable(ctx, ch.requestID)
	if err := out.finish(a); err != nil {
		return callerGoneError()
	}
	return nil
}

// statusClientClosedRequest marks requests whose caller closed the connection. No
// caller receives it.
const statusClientClosedRequest = 499

func callerGoneError() *apiError {
	return &apiError{Status: statusClientClosedRequest, Code: "caller_gone", Message: "the caller closed the connection", Run: Unknown}
}

// failure returns an error with status 502, whose run state depends on whether the
// request may have run.
func (ch *chat) failure(code, message string) *apiError {
	err := &apiError{Status: http.StatusBadGateway, Code: code, Message: message, Run: NotRun}
	if ch.mayHaveRun {
		err.Run = Unknown
	}
	return err
}
