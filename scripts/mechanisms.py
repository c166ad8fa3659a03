#!/usr/bin/env python3
"""Removes mechanisms of core/cell one at a time and reports whether a test fails.

Usage: scripts/mechanisms.py [WORD...]

With WORDs, only mechanisms whose name contains one of them are removed. The tests in
KNOWN-RED.txt, which fail anyway, are left out.
"""

import os
import shutil
import subprocess
import sys
import tempfile

# Name of the mutation, text in a source file of core/cell, and its replacement.
MECHANISMS = [
('acknowledgements start at zero after a takeover','if len(list) > 0 && !r.ackBaseKnown {','if false {'),
('fencing does not raise the token','	r.tokensIssued++\n','	r.tokensIssued = 0\n'),
('jobs resubmitted before the rows are not matched with their rows','if j := c.jobs[w.ID]; j != nil {','if j := c.jobs[w.ID]; j != nil && false {'),
('ends accepted before the rows are loaded','	if !c.loaded {\n		r.unclaimed','	if false {\n		r.unclaimed'),
('resubmission of an ended job starts a second job','	if j := c.jobs[w.ID]; j != nil {\n		c.addWaiter','	if j := c.jobs[w.ID]; j != nil && !j.state.Ended() {\n		c.addWaiter'),
('runs of unknown jobs take no capacity','	if r.orphans > 0 {\n		return Resources{}\n	}\n',''),
('inherited tasks start at once','		takenOver:        t.TermNumber <= 1,','		takenOver:        true,'),
('resubmitted jobs are not inherited','	j.inherited = submission.Resubmitted ||','	j.inherited ='),
("starts without the holder's lease",' && now.Before(c.leaseUntil)',''),
('ends acknowledged before they are stored','	j.unstoredEnds = append(j.unstoredEnds, unstoredEnd{endRef: ref, number: j.endNumber, parts: parts})\n','	ref.markStored()\n'),
("writes without the condition on the holder's row",'IfVersion: c.Term.Epoch, CheckOnly: true','IfVersion: table.AnyVersion, CheckOnly: true'),
('progress written without a version','IfVersion: j.row.parts[p].version, Value','IfVersion: table.AnyVersion, Value'),
('failures counted twice',' || slices.Contains(t.failedRuns, e.Run)',''),
('runs released as soon as a runner is silent',' || !r.leasesLapsed(now, c.Settings.Lease)',''),
('restart of a runner not detected','if h.Incarnation > r.incarnation && r.incarnation != 0 {','if false {'),
('run numbers start at one in each term','j.setRunFloor(max((c.Term.TermNumber-1)*runsPerTerm, ','j.setRunFloor(max(0, '),
('token kept when a runner restarts','	r.health = health{}\n	c.fence(now, r)','	r.health = health{}\n	c.sendHold(now, r, 0)'),
('runs with unanswered starts released','		c.fence(now, x.runner)\n		return false','		c.release(x)\n		return false'),
('stopped runs released at once','	c.Orders.Stop(x.runner.target()','	c.release(x)\n	c.Orders.Stop(x.runner.target()'),
('attempts not limited','if t.failures() >= max(j.Queue.MaxAttempts, 1) {','if t.failures() >= 99 {'),
('order of steps ignored','if j.remaining[firstStep+a] > 0 {','if j.remaining[firstStep+a] < 0 {'),
('outdated replies to holds processed','		return // overtaken by a later reply\n',''),
("leases renewed without the holder's lease",' || !now.Before(c.leaseUntil) {',' {'),
('unanswered holds do not make a runner silent','		c.recordMissedHold(r, sent)\n',''),
('another runner at the address not detected','			c.handleReplaced(now, r)\n',''),
('failed holds not retried','	failed := r.probeTicket == 0 && ','	failed := false && r.probeTicket == 0 && '),
('rows of ends never removed','		tx = c.nextRemovals()','		break'),
('rows of ends of previous holders not loaded','			c.endedJobs.add(id, jobEnd{state: e.State, at: now','			_, _ = now, (jobEnd{state: e.State, at: now'),
('gangs started in part','	if len(placement) < len(g) {','	if len(placement) < 1 {'),
('gang members without a common run number','	g.alignRunNumbers()\n',''),
('incomplete gangs not stopped','			c.stop(now, t.run, "its gang is incomplete")\n',''),
('each gang member ends on its own','	c.finishGang(t, e)\n',''),
('failures counted by member, not by gang','	return len(runs)\n','	return len(runs) / len(t.members())\n'),
('no capacity reserved for gangs','		if c.reservesCapacity(now, j) {','		if c.reservesCapacity(now, j) && false {'),
('gangs admitted regardless of size','			wantedTasks = j.Steps[s].Count','			wantedTasks = 1'),
('occurrences released before their time','	if step/steps >= j.released {','	if false {'),
('long-running tasks have attempts','	case t.spec().LongRunning:\n','	case t.spec().LongRunning && e.Reason != order.Failed:\n'),
('long-running tasks treated as stragglers','	if x.task.spec().LongRunning || x.task.spec().Opportunistic {\n		return\n','	if x.task.spec().Opportunistic {\n		return\n'),
('checkpoints not given to later runs','		Checkpoint: t.checkpoint.value, ','		Checkpoint: "", '),
('checkpoints not restored','	for _, saved := range p.Checkpoints {','	for _, saved := range p.Checkpoints[:0] {'),
('checkpoint saved for another task','		if run >= m.checkpoint.run &&','		if m = t.job.tasks[0][0]; run >= m.checkpoint.run &&'),
('opportunistic tasks reserve CPU','	if s.Opportunistic {\n		return Resources','	if false {\n		return Resources'),
('opportunistic tasks beside serving tasks','!r.hasServingRun() && ',''),
('opportunistic tasks not stopped for serving tasks','			c.stop(now, x, "a serving task starts on the runner")\n',''),
('opportunistic tasks without free CPU','	return !r.hasServingRun() && r.opportunisticCPU()+s.CPU <= r.free().CPU','	return !r.hasServingRun()'),
('starts without a ticket','	return !t.job.Queue.RequiresAdvice || ','	return true || '),
('tickets of previous incarnations accepted','t.incarnation == r.incarnation && now.Add','now.Add'),
('expired tickets accepted',' && now.Add(ticketMargin).Before(t.until)',' && !now.IsZero()'),
('runs of jobs that nobody resubmits not stopped','			c.stop(now, x, "not resubmitted in time")\n',''),
('orphaned runs kept for a fixed time','!now.Before(c.orphanDeadline(x))','now.Sub(x.startSent) > 600*time.Millisecond'),
('leases of orphaned runs extended','	if end := c.earliestEnd(r); !end.IsZero() {','	if end := c.earliestEnd(r); false {'),
('lost stops outlast the caller','				x.endBy = endBy\n','				x.endBy = time.Time{}\n'),
('late starts of a restarted runner ignored','return c.mayStartLate(now, x) })','return false })'),
('submissions of callers that have left accepted','	if c.departed.contains(','	if false && c.departed.contains('),
('earlier runs not waited for','		x.task, t.run = t, x\n','		if key.run >= t.lastRun {\n			x.task, t.run = t, x\n		}\n'),
('run numbers start anew after a cancellation',', c.endedJobs.jobs[w.ID].lastRun)',', 0)'),
('jobs with runs here refused','submission.Resubmitted || hasRuns','submission.Resubmitted'),
('jobs with runs here sent elsewhere while draining','drainingVerdict(hasRuns)','drainingVerdict(false)'),
('runs missing from truncated replies released','	if !h.EndsTruncated {\n		r.synced','	if true {\n		r.synced'),
('starts of a later incarnation confirmed','x.confirmed = restarted < least','x.confirmed = restarted < least || restarted >= least'),
('cancellations answered before the rows are read','case j == nil && c.loaded:','case j == nil:'),
('ends acknowledged before all parts are stored','j.row.parts[p].storedThrough < e.number','j.row.parts[p].storedThrough < 0'),
('malformed writes repeated','		if result.Malformed {','		if false {'),
('restarted runners used before their capacity is known',' && r.capacityKnown()',''),
('trials that last keep others away',' && now.Sub(x.startSent) < trialTime',''),
('capacity reserved for gangs that fit nowhere',' && c.canHold(now, g) {',' {'),
]

TIMEOUT_S = 300


def known_failures(core):
    """Returns the flags of go test that leave out the tests in KNOWN-RED.txt."""
    path = os.path.join(core, "..", "KNOWN-RED.txt")
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as f:
        names = [line.removeprefix("test:").strip() for line in f if line.startswith("test:")]
    return ["-skip", "^(" + "|".join(names) + ")$"] if names else []


def find_source(folder, text):
    """Returns the path of the first source file in folder that contains text, or None."""
    for name in sorted(os.listdir(folder)):
        path = os.path.join(folder, name)
        if name.endswith(".go") and not name.endswith("_test.go"):
            with open(path, encoding="utf-8") as f:
                if text in f.read():
                    return path
    return None


def run_mutation(core, text, replacement):
    """Returns whether the tests of a mutated copy of core fail.

    The result is None if text is not found, and a message if the copy does not build.
    A timeout counts as a failure.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = os.path.join(folder, "core")
        shutil.copytree(core, copy)
        path = find_source(os.path.join(copy, "cell"), text)
        if path is None:
            return None
        with open(path, encoding="utf-8") as f:
            source = f.read()
        with open(path, "w", encoding="utf-8") as f:
            f.write(source.replace(text, replacement))
        if subprocess.run(["go", "vet", "./cell"], cwd=copy, capture_output=True, check=False).returncode:
            return "does not build"
        try:
            run = subprocess.run(["go", "test", "-count=1", "./cell", "-rapid.seed=20261204", "-rapid.shrinktime=1s", "-failfast", *known_failures(core)], cwd=copy,
                                 capture_output=True, timeout=TIMEOUT_S, check=False)
        except subprocess.TimeoutExpired:
            return True
        return run.returncode != 0


def main():
    core = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "core")
    words = sys.argv[1:]
    count = {}
    for name, text, replacement in MECHANISMS:
        if words and not any(w in name for w in words):
            continue
        result = {True: "noticed", False: "NOT NOTICED", None: "NOT FOUND"}.get(r := run_mutation(core, text, replacement), r)
        count[result] = count.get(result, 0) + 1
        print(f"{result}: {name}", flush=True)
    print(", ".join(f"{n} {result}" for result, n in sorted(count.items())))


main()
