package owner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"gypsumward/core/api"
	"gypsumward/core/claim"
	"gypsumward/core/commit"
	"gypsumward/core/detach"
	"gypsumward/core/event"
	"gypsumward/core/fair"
	"gypsumward/core/span"
)

// fullRetryAfter is the time after which callers should retry when queues are full.
const fullRetryAfter = 500 * span.Millisecond

// storeRetryAfter is the time after which callers should retry when the table is
// down.
const storeRetryAfter = 2 * span.Second

// Submit accepts a job, which must have passed check.Job, and waits for its answer
// until ctx ends. If the job was submitted before, Submit waits for the answer to
// that submission. Exactly one of the results is non-nil. An answer that is not
// final means that the job is accepted.
func (o *Owner) Submit(ctx context.Context, spec api.Job) (*api.Answer, *api.Refusal) {
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, &api.Refusal{Reason: api.ReasonInvalid, Detail: err.Error(), Ran: api.RanNot}
	}
	withoutDeadline := spec
	withoutDeadline.Deadline = 0 // the time left, which may be shorter in a resubmission
	content, err := json.Marshal(withoutDeadline)
	if err != nil {
		return nil, &api.Refusal{Reason: api.ReasonInvalid, Detail: err.Error(), Ran: api.RanNot}
	}
	reply := make(chan submitReply, 1)
	if !o.post(submit{spec: spec, body: body, digest: digest(content), reply: reply}) {
		return nil, stoppingRefusal()
	}
	select {
	case a := <-reply:
		if a.refusal != nil {
			return nil, a.refusal
		}
		return o.await(ctx, a.job)
	case <-o.closed:
		return nil, unknownRefusal("the instance stopped")
	}
}

// submitReply is the loop's reply to a submission. Exactly one field is set.
type submitReply struct {
	job     *job
	refusal *api.Refusal
}

// submit asks the loop to accept a job.
type submit struct {
	spec   api.Job
	body   []byte
	digest string
	reply  chan submitReply
}

func (m submit) apply(o *Owner) {
	k := api.Key{Team: m.spec.Team, ID: m.spec.ID}
	if j := o.jobs[k]; j != nil && !j.stale() {
		if j.row.Digest != m.digest {
			m.reply <- submitReply{refusal: conflictRefusal(k)}
			return
		}
		m.reply <- submitReply{job: j}
		return
	}
	if r := o.admissionRefusal(m.spec, len(m.body)); r != nil {
		o.addEvent(event.Refused, k, string(r.Reason))
		m.reply <- submitReply{refusal: r}
		return
	}
	j := newJob(m.spec, o.Clock.Now())
	j.bytes = len(m.body)
	j.row = claim.Row{
		Key: claim.JobKey(k), Owner: o.ID, Centre: o.Centre, Epoch: 1, Nonce: o.Nonce(),
		Digest: m.digest, State: api.StateOpen, Tasks: len(j.tasks), AcceptedAt: j.acceptedAt.UnixMilli(), Deadline: j.deadline.UnixMilli(),
	}
	j.body = m.body
	o.jobs[k] = j
	o.bytes += j.bytes
	o.addEvent(event.Received, k, "")
	if v := o.enqueue(j, 0); !v.Queued {
		o.withdraw(j)
		o.resolve(j, resolution{refusal: queueRefusal(v)})
	} else {
		o.needMark[j] = true
	}
	m.reply <- submitReply{job: j}
}

// startClaim writes the claim of j with the mark that its reserved tasks need.
func (o *Owner) startClaim(j *job) {
	j.isWriting = true
	j.row.Mark = 0
	next := j.row
	if j.neededMark > 0 {
		next.Mark = min(len(j.tasks), j.neededMark+o.Settings.MarkAhead)
	}
	go o.claim(j.key, next, 0, j.body)
}

// stale reports whether j is resolved without an answer that callers may be given,
// so that a new submission replaces it.
func (j *job) stale() bool {
	return j.stage == resolved && (j.resolution.refusal != nil || j.resolution.elsewhere)
}

// admissionRefusal returns the reason why a job of size bytes is not accepted now,
// or nil if it is.
func (o *Owner) admissionRefusal(spec api.Job, size int) *api.Refusal {
	switch {
	case o.drain != nil:
		return stoppingRefusal()
	case o.Committer.IsDown():
		return storeRefusal()
	case len(o.jobs) >= o.Settings.MaxJobs && !o.evictResolved():
		return fullRefusal("too many jobs are open")
	case o.bytes+size > o.Settings.MaxBytes:
		return fullRefusal("the open jobs hold too many bytes")
	}
	return o.unfitRefusal(spec)
}

// evictResolved forgets one resolved job. It reports false if there is none.
func (o *Owner) evictResolved() bool {
	for k, j := range o.jobs {
		if j.stage == resolved {
			o.forget(k, j)
			return true
		}
	}
	return false
}

// claim writes the claim row of a job, after storing a body that is too large for
// the row in the object store.
func (o *Owner) claim(k api.Key, row claim.Row, version int64, body []byte) {
	if len(body) <= claim.MaxInline {
		row.Body = body
	} else {
		row.ObjectKey = "body/" + row.Nonce
		ctx, cancel := o.callContext()
		err := o.Objects.Put(ctx, row.ObjectKey, body)
		cancel()
		if err != nil {
			o.post(claimed{key: k, row: row, body: body, outcome: commit.Outcome{Result: commit.NotWritten}})
			return
		}
	}
	if outcome, ok := o.submitAndWait(claim.Claim(row, version)); ok {
		o.post(claimed{key: k, row: row, body: body, outcome: outcome})
	}
}

// claimed reports the outcome of a claim.
type claimed struct {
	key     api.Key
	row     claim.Row
	body    []byte
	outcome commit.Outcome
}

func (m claimed) apply(o *Owner) {
	j := o.jobs[m.key]
	if j == nil || j.stage != claiming {
		return
	}
	switch m.outcome.Result {
	case commit.Written:
		j.row, j.version, j.isWriting, j.body = m.row, m.outcome.Version, false, nil
		o.addEvent(event.Claimed, m.key, "")
		o.startJob(j)
	case commit.Conflict:
		o.resolveConflict(j, m)
	case commit.NotWritten, commit.Unresolved:
		o.resolve(j, resolution{refusal: storeRefusal()})
	}
}

// resolveConflict handles a claim whose row already exists: a spent row is claimed
// over, other content is refused, and otherwise the job is followed at its owner.
func (o *Owner) resolveConflict(j *job, m claimed) {
	existing := m.outcome.Row(m.row.Key)
	row, err := claim.Decode(existing)
	switch {
	case err != nil:
		o.resolve(j, resolution{refusal: unknownRefusal(err.Error())})
	case row.ReleasedNotRun:
		next := m.row
		next.Epoch = row.Epoch + 1
		next.Nonce = o.Nonce()
		next.Body, next.ObjectKey = nil, ""
		go o.claim(m.key, next, existing.Version, m.body)
	case row.Digest != m.row.Digest:
		o.resolve(j, resolution{refusal: conflictRefusal(m.key)})
	default:
		o.resolve(j, resolution{elsewhere: true})
	}
}

// resolve sets the result of j to e for the callers that wait for it. It forgets j
// unless e is an answer.
func (o *Owner) resolve(j *job, e resolution) {
	if j.tasks != nil {
		o.withdraw(j)
	}
	j.setResolution(e, o.Clock.Now())
	if e.elsewhere || e.refusal != nil {
		if o.jobs[j.key] == j {
			o.forget(j.key, j)
		}
	}
}

// startJob begins to run a job whose row was claimed or taken over: it queues the
// tasks and sends those reserved below the mark. A job that was failed in the
// meantime is failed now, and a job claimed during a shutdown is released.
func (o *Owner) startJob(j *job) {
	j.stage = running
	if j.failure != nil {
		o.fail(j, j.failure.Reason, j.failure.Detail)
		return
	}
	if o.drain != nil {
		o.release(j)
		return
	}
	o.enqueue(j, 0)
	o.sendReserved(j)
}

// await waits for the result of j until ctx ends. If another instance owns the job
// it continues with follow.
func (o *Owner) await(ctx context.Context, j *job) (*api.Answer, *api.Refusal) {
	a, r, local := o.awaitLocal(ctx, j)
	if !local {
		return o.follow(ctx, j.key)
	}
	return a, r
}

// awaitLocal waits for the result of j until ctx ends. It reports false if another
// instance owns the job.
func (o *Owner) awaitLocal(ctx context.Context, j *job) (*api.Answer, *api.Refusal, bool) {
	select {
	case <-j.finished:
	case <-ctx.Done():
		a, r := o.pendingAnswer(j)
		return a, r, true
	case <-o.closed:
		return nil, unknownRefusal("the instance stopped"), true
	}
	switch {
	case j.resolution.elsewhere:
		return nil, nil, false
	case j.resolution.refusal != nil:
		return nil, j.resolution.refusal, true
	}
	return &j.resolution.answer, nil, true
}

// pendingAnswer returns the result for a caller that stops waiting before j is
// resolved: an open answer, or a refusal while the claim is not durable.
func (o *Owner) pendingAnswer(j *job) (*api.Answer, *api.Refusal) {
	reply := make(chan stage, 1)
	if !o.post(stageQuery{job: j, reply: reply}) || <-reply == claiming {
		return nil, unknownRefusal("the claim is not answered yet; submit again with the same id")
	}
	a := j.openAnswer()
	return &a, nil
}

// stageQuery asks the loop for the stage of a job.
type stageQuery struct {
	job   *job
	reply chan stage
}

func (m stageQuery) apply(*Owner) {
	m.reply <- m.job.stage
}

// callContext returns a context that ends after Settings.CallTimeout, for one call
// to the platform or a target. It does not end with the caller's context, since
// the effect of the call does not either.
func (o *Owner) callContext() (context.Context, context.CancelFunc) {
	return detach.WithTimeout(o.Clock, o.Settings.CallTimeout)
}

// digest returns the first 16 bytes of the SHA-256 sum of body in hexadecimal.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

func stoppingRefusal() *api.Refusal {
	return &api.Refusal{Reason: api.ReasonStopping, Detail: "the instance is shutting down", Ran: api.RanNot, RetryAfter: 10 * span.Millisecond}
}

func storeRefusal() *api.Refusal {
	return &api.Refusal{Reason: api.ReasonStore, Detail: "the table service does not answer", Ran: api.RanNot, RetryAfter: storeRetryAfter}
}

func fullRefusal(detail string) *api.Refusal {
	return &api.Refusal{Reason: api.ReasonFull, Detail: detail, Ran: api.RanNot, RetryAfter: fullRetryAfter}
}

func queueRefusal(v fair.Admission) *api.Refusal {
	return &api.Refusal{Reason: v.Reason, Detail: "the team's queue does not take the job now", Ran: api.RanNot, RetryAfter: span.Of(v.RetryAfter)}
}

func unknownRefusal(detail string) *api.Refusal {
	return &api.Refusal{Reason: api.ReasonStore, Detail: detail, Ran: api.RanUnknown, RetryAfter: storeRetryAfter}
}

func conflictRefusal(k api.Key) *api.Refusal {
	return &api.Refusal{Reason: api.ReasonConflict, Detail: "id " + k.ID + " was submitted before with other content", Ran: api.RanNot}
}

func missingRefusal(k api.Key) *api.Refusal {
	return &api.Refusal{Reason: api.ReasonMissing, Detail: "no job " + k.ID + " of team " + k.Team, Ran: api.RanNot}
}
