package entry

import (
	"context"
	"net/http"

	"hyssoploom/cascade"
	"hyssoploom/dialect"
)

// answer is the whole answer of one stage.
type answer struct {
	stage        int
	model        string
	version      string
	text         string
	tokensIn     int64
	tokensOut    int64
	finishReason string
	backend      string // agent that ran the last part
}

// run answers the request, stage by stage, and ends the output.
func (ch *chat) run(ctx context.Context, out *output) *apiError {
	plan := ch.plan()
	var best *answer
	current, gated, audit := plan.Start, plan.Gate, plan.Audit
	for {
		result, err := ch.runStage(ctx, current, out, gated)
		if err != nil {
			if best != nil {
				// A costlier stage could not answer: the cheaper answer is better
				// than none.
				return ch.release(ctx, out, best, gated)
			}
			return err
		}
		best = result
		if !gated {
			ch.rateLater(ctx, plan, result, audit)
			return ch.release(ctx, out, result, false)
		}
		step := ch.judge(ctx, plan, result)
		if step.Release {
			return ch.release(ctx, out, result, true)
		}
		ch.entry.metrics.Add("escalations", 1)
		current, gated, audit = step.To, step.Gate, step.Audit
	}
}

// plan asks the cascade policy where to start; a single model needs no plan.
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
	// Without any available stage the first attempt waits for a backend server.
	plan.Start = max(plan.Start, 0)
	return plan
}

// judge waits for the rating of a gated answer.
func (ch *chat) judge(ctx context.Context, plan cascade.Plan, a *answer) cascade.Decision {
	rating := ch.entry.ratings.rate(ctx, ch.ratingJob(plan, a))
	return ch.entry.policy.next(plan, a.stage, rating)
}

// rateLater has the released answer rated in the background when the plan asks
// for an audit or a version test needs it.
func (ch *chat) rateLater(ctx context.Context, plan cascade.Plan, a *answer, audit bool) {
	if audit || ch.entry.health.NeedsRating(versionKey(a.model, a.version)) {
		ch.entry.ratings.later(ctx, ch.ratingJob(plan, a))
	}
}

func (ch *chat) ratingJob(plan cascade.Plan, a *answer) ratingJob {
	wait := defaultRateWait
	if ch.cascade != nil && ch.cascade.RateWait > 0 {
		wait = ch.cascade.RateWait.AsDuration()
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

// release hands the answer to the caller once its charge is durable or the
// wait for that is over. Buffered answers were not streamed yet.
func (ch *chat) release(ctx context.Context, out *output, a *answer, buffered bool) *apiError {
	if buffered || !out.streaming() {
		if err := out.write(a.text, a); err != nil {
			return callerGone()
		}
	}
	ch.entry.waitDurable(ctx, ch.requestID)
	if err := out.finish(a); err != nil {
		return callerGone()
	}
	return nil
}

// statusCallerGone is the status that is logged for callers that left; no
// caller sees it.
const statusCallerGone = 499

func callerGone() *apiError {
	return &apiError{Status: statusCallerGone, Code: "caller_gone", Message: "the caller closed the connection", Run: Unknown}
}

// failed returns the error of a request that may have run.
func (ch *chat) failed(code, message string) *apiError {
	err := &apiError{Status: http.StatusBadGateway, Code: code, Message: message, Run: NotRun}
	if ch.handed {
		err.Run = Unknown
	}
	return err
}
