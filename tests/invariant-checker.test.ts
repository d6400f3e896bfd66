import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, InvariantChecker, type MachineCapacity } from '@heathroad/testkit'

/** Returns a checker with its own clock, one accepted job of two tasks, and faults that end after 100 s. */
const createSetup = () => {
	let now = 0
	const invariants = new InvariantChecker(() => now, 30_000, new Map([['core', 4]]))
	invariants.faultsEndMs = 100_000
	invariants.jobSubmitted(arrayJob('job-000001', { tasks: 2, zone: 'a', cpus: 2 }))
	invariants.observeStatus('job-000001', 201, 'pending', null)
	return { invariants, at: (s: number) => (now = s * 1000) }
}
const UID = 'job-000001'
type Setup = ReturnType<typeof createSetup>
const placeTask = ({ invariants }: Setup, task = `${UID}/0`, machine = 'i-1', zone = 'a') =>
	invariants.taskPlaced(task, machine, 'box', zone, false)
const cancel = (setup: Setup) => {
	setup.invariants.cancelRequested(UID)
	setup.invariants.observeStatus(UID, 200, 'aborted', 'pending')
}
const leaveUnanswered = (setup: Setup, fromS: number, toS: number) => {
	for (let s = fromS; s <= toS; s += 3) {
		setup.at(s)
		setup.invariants.observeQuery(UID, false)
	}
}

/** A user queries two jobs every 3 s; the first is never answered, the other for `answered` percent of the queries. */
const leaveUnansweredBesideAnother = (setup: Setup, fromS: number, toS: number, answered = 100) => {
	const other = 'job-000002'
	setup.invariants.jobSubmitted(arrayJob(other))
	setup.invariants.observeStatus(other, 201, 'pending', null)
	for (let s = fromS, queryCount = 0; s <= toS; s += 3, queryCount++) {
		leaveUnanswered(setup, s, s)
		const before = Math.floor((queryCount * answered) / 100)
		setup.invariants.observeQuery(other, Math.floor(((queryCount + 1) * answered) / 100) > before)
	}
}
/** Both tasks of the job run and complete, and a user learns that the job is done. */
const completeJob = (setup: Setup) => {
	for (const n of [0, 1]) {
		placeTask(setup, `${UID}/${n}`)
		setup.invariants.taskRemoved(`${UID}/${n}`, 'i-1')
		completeTask(setup, n)
	}
	setup.invariants.observeStatus(UID, 200, 'done', 'pending')
}
const completeTask = ({ invariants }: Setup, n: number) => invariants.taskCompleted(`${UID}/${n}`)
const reportDoneCount = ({ invariants }: Setup, now: number, before: number) =>
	invariants.observeStatus(UID, 200, 'running', 'running', { now, before })
const INVALID_JOB = 'job-800001'
const submitInvalid = ({ invariants }: Setup, status: number, expectedStatus: number) => {
	invariants.expectRejection(INVALID_JOB)
	invariants.jobSubmitted(arrayJob(INVALID_JOB))
	invariants.checkRejection(INVALID_JOB, status, expectedStatus)
}
const leaveWaiting = (setup: Setup, fromS: number, toS: number, more: Partial<MachineCapacity> = {}) => {
	for (let s = fromS; s <= toS; s++) {
		setup.at(s)
		setup.invariants.checkWaitingJobs(
			[{ id: 'i-1', type: 'box', zone: 'a', spot: true, cpus: 8, ...more }],
			3,
		)
	}
}
/** Another job of the team uses up the rest of its limit. */
const useUpLimit = (setup: Setup) => {
	setup.invariants.jobSubmitted(arrayJob('job-000002', { tasks: 1, cpus: 3 }))
	setup.invariants.observeStatus('job-000002', 201, 'pending', null)
	return [placeTask(setup, 'job-000002/0', 'i-2')]
}

test('the invariant checker finds every injected violation, and none where there is none', () => {
	const cases: [name: string, act: (setup: Setup) => void, rule: string | null][] = [
		['a task on one machine', (setup) => placeTask(setup), null],
		[
			'a task on two machines',
			(setup) => [placeTask(setup), placeTask(setup, `${UID}/0`, 'i-2')],
			'ran_twice',
		],
		[
			'a task in another zone than required',
			(setup) => placeTask(setup, `${UID}/0`, 'i-1', 'b'),
			'wrong_place',
		],
		[
			"tasks above the team's limit",
			(setup) => [0, 1, 2].map((n) => placeTask(setup, `${UID}/${n}`)),
			'quota',
		],
		[
			'a cancelled task removed in time',
			(setup) => [
				placeTask(setup),
				cancel(setup),
				setup.invariants.taskRemoved(`${UID}/0`, 'i-1'),
				setup.at(31),
				setup.invariants.checkCancelledTasks(),
			],
			null,
		],
		[
			'a cancelled task that runs too long',
			(setup) => [placeTask(setup), cancel(setup), setup.at(31), setup.invariants.checkCancelledTasks()],
			'ran_cancelled',
		],
		[
			'a task started too long after the cancellation',
			(setup) => [cancel(setup), setup.at(31), placeTask(setup)],
			'ran_cancelled',
		],
		[
			'a 404 for an accepted job',
			(setup) => setup.invariants.observeStatus(UID, 404, null, 'pending'),
			'forgotten',
		],
		['an accepted job rejected later', (setup) => setup.invariants.observeRejection(UID), 'forgotten'],
		['no answer during faults', (setup) => leaveUnanswered(setup, 1, 99), null],
		['no answer for a minute after the faults', (setup) => leaveUnanswered(setup, 90, 172), null],
		[
			'an answer in between',
			(setup) => [
				leaveUnanswered(setup, 101, 170),
				setup.invariants.observeQuery(UID, true),
				leaveUnanswered(setup, 173, 240),
			],
			null,
		],
		['no answer for 75 s after the faults', (setup) => leaveUnanswered(setup, 90, 180), 'forgotten'],
		[
			'a job that nobody submitted',
			(setup) => setup.invariants.observeStatus('job-000009', 200, 'pending', null),
			'invented',
		],
		[
			'done before its last task',
			(setup) => [
				setup.invariants.taskCompleted(`${UID}/0`),
				setup.invariants.observeStatus(UID, 200, 'done', 'pending'),
			],
			'not_done',
		],
		[
			'cancelled without a request',
			(setup) => setup.invariants.observeStatus(UID, 200, 'aborted', 'pending'),
			'went_back',
		],
		[
			'an answer with an older state',
			(setup) => [cancel(setup), setup.invariants.observeStatus(UID, 200, 'running', 'aborted')],
			'went_back',
		],
		['done', (setup) => completeJob(setup), null],
		['done, and started again', (setup) => [completeJob(setup), placeTask(setup)], 'ran_again'],
		[
			'done, and unknown afterwards',
			(setup) => [completeJob(setup), setup.invariants.observeStatus(UID, 404, null, 'done')],
			'forgotten',
		],
		[
			'done, and accepted as if it were new',
			(setup) => [completeJob(setup), setup.invariants.observeStatus(UID, 201, 'done', 'done')],
			'accepted_again',
		],
		[
			'done, and open again',
			(setup) => [completeJob(setup), setup.invariants.observeStatus(UID, 200, 'pending', 'done')],
			'went_back',
		],
		[
			'no answer for 87 s while another job has one',
			(setup) => leaveUnansweredBesideAnother(setup, 1, 88),
			null,
		],
		[
			'no answer for 90 s while another job has one',
			(setup) => leaveUnansweredBesideAnother(setup, 1, 91),
			'unanswered',
		],
		[
			'no answer for 90 s while no other job has one either',
			(setup) => leaveUnansweredBesideAnother(setup, 1, 99, 0),
			null,
		],
		[
			'no answer for 90 s while most queries for another job have none',
			(setup) => leaveUnansweredBesideAnother(setup, 1, 99, 45),
			null,
		],
		[
			'an answer after 60 s, then none for 87 s',
			(setup) => [
				leaveUnansweredBesideAnother(setup, 1, 61),
				setup.invariants.observeQuery(UID, true),
				leaveUnansweredBesideAnother(setup, 64, 151),
			],
			null,
		],
		[
			'a repeated submission of a known job',
			(setup) => setup.invariants.observeStatus(UID, 200, 'pending', 'pending'),
			null,
		],
		[
			'a known job accepted as if it were new',
			(setup) => setup.invariants.observeStatus(UID, 201, 'pending', 'pending'),
			'accepted_again',
		],
		[
			'the done count rises',
			(setup) => [
				completeTask(setup, 0),
				reportDoneCount(setup, 1, 0),
				completeTask(setup, 1),
				reportDoneCount(setup, 2, 1),
			],
			null,
		],
		[
			'the done count falls',
			(setup) => [completeTask(setup, 0), reportDoneCount(setup, 1, 0), reportDoneCount(setup, 0, 1)],
			'went_back',
		],
		[
			'a done count above the completed tasks',
			(setup) => [completeTask(setup, 0), reportDoneCount(setup, 2, 0)],
			'not_done',
		],
		['an invalid job is rejected', (setup) => submitInvalid(setup, 400, 400), null],
		['an invalid job cannot be judged yet', (setup) => submitInvalid(setup, 503, 400), null],
		[
			'an invalid job is rejected with another status',
			(setup) => submitInvalid(setup, 422, 400),
			'wrong_refusal',
		],
		['a job with a missing field is accepted', (setup) => submitInvalid(setup, 201, 400), 'accepted_invalid'],
		['a job that can never run is accepted', (setup) => submitInvalid(setup, 201, 422), 'accepted_invalid'],
		[
			'an invalid job is known',
			(setup) => [
				submitInvalid(setup, 503, 422),
				setup.invariants.observeStatus(INVALID_JOB, 200, 'pending', null),
			],
			'accepted_invalid',
		],
		['waiting during faults', (setup) => leaveWaiting(setup, 1, 99), null],
		['waiting for 89 s after the faults', (setup) => leaveWaiting(setup, 80, 189), null],
		[
			'a task started in between',
			(setup) => [leaveWaiting(setup, 101, 180), placeTask(setup), leaveWaiting(setup, 181, 260)],
			null,
		],
		[
			'no task left to wait',
			(setup) => [placeTask(setup), placeTask(setup, `${UID}/1`), leaveWaiting(setup, 101, 200)],
			null,
		],
		[
			'capacity that others take every other second',
			(setup) => {
				for (let s = 101; s < 300; s++) leaveWaiting(setup, s, s, { cpus: s % 2 === 0 ? 8 : 1 })
			},
			null,
		],
		['no capacity', (setup) => leaveWaiting(setup, 101, 200, { cpus: 1 }), null],
		['capacity in another zone', (setup) => leaveWaiting(setup, 101, 200, { zone: 'b' }), null],
		['the team at its limit', (setup) => [...useUpLimit(setup), leaveWaiting(setup, 101, 200)], null],
		[
			'its user cancelled it',
			(setup) => [setup.invariants.cancelRequested(UID), leaveWaiting(setup, 101, 200)],
			null,
		],
		[
			'it may wait',
			(setup) => [Object.assign(setup.invariants, { mayWait: () => true }), leaveWaiting(setup, 101, 200)],
			null,
		],
		['waiting beside free capacity', (setup) => leaveWaiting(setup, 101, 195), 'left_waiting'],
		[
			'its last task waiting beside free capacity',
			(setup) => [placeTask(setup), leaveWaiting(setup, 101, 195)],
			'left_waiting',
		],
	]
	for (const [name, act, rule] of cases) {
		const setup = createSetup()
		act(setup)
		assert.deepEqual(
			[...new Set(setup.invariants.violations.map((violation) => violation.split(' ')[0]))],
			rule === null ? [] : [rule],
			name,
		)
	}
})

test('a day on which less than half of the jobs are served, or the largest start late, has failed', () => {
	const cases: [name: string, served: number, largestStartS: number, failed: RegExp[]][] = [
		['all served', 20, 10, []],
		['half served', 10, 10, []],
		['less than half served', 9, 10, [/9 of 20 of team core/, /9 of 20 of class any/]],
		['the largest start late', 20, 241, [/largest of class any begin late/]],
		['the largest never start', 18, Number.POSITIVE_INFINITY, [/begin late/, /0 of 2 of largest/]],
	]
	for (const [name, served, largestStartS, failed] of cases) {
		let now = 0
		const invariants = new InvariantChecker(() => now, 30_000, new Map())
		for (let i = 0; i < 20; i++) {
			const uid = `job-${String(i).padStart(6, '0')}`
			now = 0
			invariants.jobSubmitted(arrayJob(uid, { tasks: i >= 18 ? 9 : 1 }))
			invariants.observeStatus(uid, 201, 'pending', null)
			now = (i >= 18 ? largestStartS : 5) * 1000
			if (!Number.isFinite(now)) continue
			invariants.taskPlaced(`${uid}/0`, 'i-1', 'box', 'a', false)
			for (let n = 0; n < 9; n++) invariants.taskCompleted(`${uid}/${n}`)
			// The largest jobs are served unless the case is about them.
			if (i >= 18 || i < served - 2) invariants.observeStatus(uid, 200, 'done', 'pending')
		}
		const found = invariants.failures()
		assert.equal(found.length, failed.length, `${name}: ${found}`)
		for (const pattern of failed)
			assert.ok(
				found.some((failure) => pattern.test(failure)),
				`${name}: ${found}`,
			)
	}
})

test('task starts after a confirmed cancellation are counted, and each state is reported as new once', () => {
	const setup = createSetup()
	const newStates: string[] = []
	setup.invariants.onNewState = (_, state) => newStates.push(state)
	placeTask(setup)
	cancel(setup)
	setup.at(5)
	placeTask(setup, `${UID}/1`)
	setup.invariants.observeStatus(UID, 200, 'aborted', 'aborted')
	assert.equal(setup.invariants.placementsAfterCancellation, 1)
	assert.deepEqual(setup.invariants.violations, [])
	assert.deepEqual(newStates, ['aborted'])
})
