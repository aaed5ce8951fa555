package entry

import (
	"context"
	"errors"
	"time"

	"hyssoploom/cascade"
	"hyssoploom/control"
	"hyssoploom/dialect"
	"hyssoploom/rollout"
	"hyssoploom/supervise"
)

const (
	// defaultRatingWait is the default for how long an answer is withheld for its
	// rating.
	defaultRatingWait = 2 * time.Second
	// raterTimeout limits one call to the rater.
	raterTimeout = 30 * time.Second
	// maxPendingRatings limits the number of concurrent calls to the rater.
	maxPendingRatings = 256
)

// ratingJob describes an answer to be rated.
type ratingJob struct {
	request dialect.RateRequest
	wait    time.Duration // how long a withheld answer waits for the rating
	cascade bool          // whether the request is for a cascade
	stage   int
	start   int    // stage at which the request began
	backend string // backend server that produced the answer
}

// observation returns the observation for the cascade policy, without the rating.
func (j ratingJob) observation() cascade.Observation {
	return cascade.Observation{
		Workspace: j.request.Workspace, TaskClass: j.request.TaskClass,
		Stage: j.stage, Start: j.start, Model: j.request.Model, Version: j.request.Version,
	}
}

// missingObservation returns the observation for a rating that did not arrive in
// time.
func (j ratingJob) missingObservation() cascade.Observation {
	o := j.observation()
	o.Missing = true
	return o
}

// ratings calls the rater and reports its verdicts to the health monitor, the cascade
// policy and the agents.
type ratings struct {
	entry   *Entry
	running supervise.Inflight
}

func newRatings(e *Entry) *ratings { return &ratings{entry: e} }

// rate has an answer rated and waits up to job.wait for the result. If it does not
// arrive in time, rating continues in the background, because a version under test
// needs the evidence.
func (r *ratings) rate(ctx context.Context, job ratingJob) cascade.Rating {
	result := make(chan cascade.Rating, 1)
	r.start(ctx, job, result)
	timer := time.NewTimer(job.wait)
	defer timer.Stop()
	select {
	case rating := <-result:
		return rating
	case <-timer.C:
	case <-ctx.Done():
	}
	r.entry.metrics.Add("ratings_late", 1)
	r.entry.policy.observe(job.missingObservation())
	return cascade.NotRated
}

// rateInBackground has an answer rated without waiting for the result.
func (r *ratings) rateInBackground(ctx context.Context, job ratingJob) { r.start(ctx, job, nil) }

// start rates an answer in a new goroutine and sends the rating to result unless it
// is nil. With maxPendingRatings already running, the answer is not rated.
func (r *ratings) start(ctx context.Context, job ratingJob, result chan<- cascade.Rating) {
	if r.running.Count() >= maxPendingRatings {
		r.entry.metrics.Add("ratings_dropped", 1)
		if result != nil {
			result <- cascade.NotRated
		}
		return
	}
	end := r.running.Begin()
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer end()
		rating := r.callRater(ctx, job)
		if result != nil {
			result <- rating
		}
	}()
}

// callRater calls the rater and records its verdict.
func (r *ratings) callRater(ctx context.Context, job ratingJob) cascade.Rating {
	ctx, cancel := context.WithTimeout(ctx, raterTimeout)
	defer cancel()
	ctx, span := r.entry.deps.Tracing.Tracer.Start(ctx, "rater")
	defer span.End()
	verdict, err := r.entry.deps.Rater.Rate(ctx, job.request)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			r.entry.metrics.Add("ratings_failed", 1)
		}
		return cascade.NotRated
	}
	r.record(job, verdict)
	if verdict.Pass {
		return cascade.Passed
	}
	return cascade.Failed
}

// record reports a verdict to the health monitor, to the cascade policy and to the agent
// of the backend server that produced the answer.
func (r *ratings) record(job ratingJob, verdict dialect.Rating) {
	e := r.entry
	e.metrics.Add("ratings", 1)
	key := versionKey(job.request.Model, job.request.Version)
	e.health.Record(key, rollout.Observation{
		TaskClass: job.request.TaskClass, Rated: true, Passed: verdict.Pass,
	})
	if job.cascade {
		o := job.observation()
		o.Passed = verdict.Pass
		e.policy.observe(o)
	}
	e.links.sendToServer(job.backend, control.Encode(control.KindAnswerRated, control.AnswerRated{RequestID: job.request.RequestID, Key: key}))
}
