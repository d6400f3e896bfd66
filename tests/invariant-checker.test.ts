import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, InvariantChecker, type MachineCapacity } from '@heathroad/testkit'

/** A checker with a clock of its own, one accepted job of two tasks, and troubles that end after 100 s. */
const watch = () => {
	let now = 0
	const invariants = new InvariantChecker(() => now, 30_000, new Map([['core', 4]]))
	invariants.faultsEndMs = 100_000
	invariants.jobSubmitted(arrayJob('job-000001', { tasks: 2, zone: 'a', cpus: 2 }))
	invariants.observeStatus('job-000001', 201, 'pending', null)
	return { invariants, at: (s: number) => (now = s * 1000) }
}
const UID = 'job-000001'
type Watch = ReturnType<typeof watch>
const place = ({ invariants }: Watch, task = `${UID}/0`, machine = 'i-1', zone = 'a') =>
	invariants.taskPlaced(task, machine, 'box', zone, false)
const cancel = (w: Watch) => {
	w.invariants.cancelRequested(UID)
	w.invariants.observeStatus(UID, 200, 'aborted', 'pending')
}
const silent = (w: Watch, fromS: number, toS: number) => {
	for (let s = fromS; s <= toS; s += 3) {
		w.at(s)
		w.invariants.observeQuery(UID, false)
	}
}

/** A user asks every 3 s about the job, in vain, and about another one, `answered` times in a hundred with an answer. */
const silentBesideAnother = (w: Watch, fromS: number, toS: number, answered = 100) => {
	const other = 'job-000002'
	w.invariants.jobSubmitted(arrayJob(other))
	w.invariants.observeStatus(other, 201, 'pending', null)
	for (let s = fromS, asked = 0; s <= toS; s += 3, asked++) {
		silent(w, s, s)
		const before = Math.floor((asked * answered) / 100)
		w.invariants.observeQuery(other, Math.floor(((asked + 1) * answered) / 100) > before)
	}
}
/** The job's only two tasks run and are done, and a user hears of it. */
const done = (w: Watch) => {
	for (const n of [0, 1]) {
		place(w, `${UID}/${n}`)
		w.invariants.taskRemoved(`${UID}/${n}`, 'i-1')
		finish(w, n)
	}
	w.invariants.observeStatus(UID, 200, 'done', 'pending')
}
const finish = ({ invariants }: Watch, n: number) => invariants.taskCompleted(`${UID}/${n}`)
const count = ({ invariants }: Watch, now: number, before: number) =>
	invariants.observeStatus(UID, 200, 'running', 'running', { now, before })
const ODD = 'job-800001'
const odd = ({ invariants }: Watch, status: number, right: number) => {
	invariants.expectRejection(ODD)
	invariants.jobSubmitted(arrayJob(ODD))
	invariants.checkRejection(ODD, status, right)
}
const wait = (w: Watch, fromS: number, toS: number, more: Partial<MachineCapacity> = {}) => {
	for (let s = fromS; s <= toS; s++) {
		w.at(s)
		w.invariants.checkWaitingJobs([{ id: 'i-1', type: 'box', zone: 'a', spot: true, cpus: 8, ...more }], 3)
	}
}
/** Another job of the team takes what its limit leaves. */
const others = (w: Watch) => {
	w.invariants.jobSubmitted(arrayJob('job-000002', { tasks: 1, cpus: 3 }))
	w.invariants.observeStatus('job-000002', 201, 'pending', null)
	return [place(w, 'job-000002/0', 'i-2')]
}

test("the invariants' checker finds every fault that is planted, and none where there is none", () => {
	const cases: [name: string, play: (w: Watch) => void, rule: string | null][] = [
		['a task on one machine', (w) => place(w), null],
		['on two', (w) => [place(w), place(w, `${UID}/0`, 'i-2')], 'ran_twice'],
		['in another zone', (w) => place(w, `${UID}/0`, 'i-1', 'b'), 'wrong_place'],
		['over the limit', (w) => [0, 1, 2].map((n) => place(w, `${UID}/${n}`)), 'quota'],
		[
			'gone in time',
			(w) => [
				place(w),
				cancel(w),
				w.invariants.taskRemoved(`${UID}/0`, 'i-1'),
				w.at(31),
				w.invariants.checkCancelledTasks(),
			],
			null,
		],
		[
			'there too long',
			(w) => [place(w), cancel(w), w.at(31), w.invariants.checkCancelledTasks()],
			'ran_cancelled',
		],
		['started too late', (w) => [cancel(w), w.at(31), place(w)], 'ran_cancelled'],
		['404', (w) => w.invariants.observeStatus(UID, 404, null, 'pending'), 'forgotten'],
		['refused later', (w) => w.invariants.observeRejection(UID), 'forgotten'],
		['no answer while there are troubles', (w) => silent(w, 1, 99), null],
		['no answer for a minute afterwards', (w) => silent(w, 90, 172), null],
		[
			'an answer in between',
			(w) => [silent(w, 101, 170), w.invariants.observeQuery(UID, true), silent(w, 173, 240)],
			null,
		],
		['no answer for 75 s afterwards', (w) => silent(w, 90, 180), 'forgotten'],
		[
			'nobody submitted it',
			(w) => w.invariants.observeStatus('job-000009', 200, 'pending', null),
			'invented',
		],
		[
			'done too early',
			(w) => [
				w.invariants.taskCompleted(`${UID}/0`),
				w.invariants.observeStatus(UID, 200, 'done', 'pending'),
			],
			'not_done',
		],
		[
			'cancelled, nobody asked',
			(w) => w.invariants.observeStatus(UID, 200, 'aborted', 'pending'),
			'went_back',
		],
		[
			'an older answer',
			(w) => [cancel(w), w.invariants.observeStatus(UID, 200, 'running', 'aborted')],
			'went_back',
		],
		['done once', (w) => done(w), null],
		['done, and started again', (w) => [done(w), place(w)], 'ran_again'],
		['done, and unknown', (w) => [done(w), w.invariants.observeStatus(UID, 404, null, 'done')], 'forgotten'],
		[
			'done, and accepted as if it were new',
			(w) => [done(w), w.invariants.observeStatus(UID, 201, 'done', 'done')],
			'accepted_again',
		],
		[
			'done, and then not',
			(w) => [done(w), w.invariants.observeStatus(UID, 200, 'pending', 'done')],
			'went_back',
		],
		['no answer for 87 s while another job has one', (w) => silentBesideAnother(w, 1, 88), null],
		['no answer for 90 s while another job has one', (w) => silentBesideAnother(w, 1, 91), 'unanswered'],
		['no answer for 90 s while no other has one either', (w) => silentBesideAnother(w, 1, 99, 0), null],
		['no answer for 90 s while most of the others have none', (w) => silentBesideAnother(w, 1, 99, 45), null],
		[
			'an answer after 60 s, then none for 87 s',
			(w) => [
				silentBesideAnother(w, 1, 61),
				w.invariants.observeQuery(UID, true),
				silentBesideAnother(w, 64, 151),
			],
			null,
		],
		['known already', (w) => w.invariants.observeStatus(UID, 200, 'pending', 'pending'), null],
		[
			'accepted as if it were new',
			(w) => w.invariants.observeStatus(UID, 201, 'pending', 'pending'),
			'accepted_again',
		],
		['done tasks counted up', (w) => [finish(w, 0), count(w, 1, 0), finish(w, 1), count(w, 2, 1)], null],
		['done tasks counted down', (w) => [finish(w, 0), count(w, 1, 0), count(w, 0, 1)], 'went_back'],
		['more than were done', (w) => [finish(w, 0), count(w, 2, 0)], 'not_done'],
		['what must be refused is', (w) => odd(w, 400, 400), null],
		['cannot be decided yet', (w) => odd(w, 503, 400), null],
		['refused as something else', (w) => odd(w, 422, 400), 'wrong_refusal'],
		['accepted although it lacks a field', (w) => odd(w, 201, 400), 'accepted_invalid'],
		['accepted although it can never run', (w) => odd(w, 201, 422), 'accepted_invalid'],
		[
			'known although it must not be',
			(w) => [odd(w, 503, 422), w.invariants.observeStatus(ODD, 200, 'pending', null)],
			'accepted_invalid',
		],
		['waiting while there are troubles', (w) => wait(w, 1, 99), null],
		['waiting for a minute', (w) => wait(w, 80, 189), null],
		['started in between', (w) => [wait(w, 101, 180), place(w), wait(w, 181, 260)], null],
		['nothing left to wait', (w) => [place(w), place(w, `${UID}/1`), wait(w, 101, 200)], null],
		[
			'room that others take every other second',
			(w) => {
				for (let s = 101; s < 300; s++) wait(w, s, s, { cpus: s % 2 === 0 ? 8 : 1 })
			},
			null,
		],
		['no room', (w) => wait(w, 101, 200, { cpus: 1 }), null],
		['room in another zone', (w) => wait(w, 101, 200, { zone: 'b' }), null],
		['the team at its limit', (w) => [...others(w), wait(w, 101, 200)], null],
		['its user called it off', (w) => [w.invariants.cancelRequested(UID), wait(w, 101, 200)], null],
		['it may wait', (w) => [Object.assign(w.invariants, { mayWait: () => true }), wait(w, 101, 200)], null],
		['waiting beside room', (w) => wait(w, 101, 195), 'left_waiting'],
		['its last task beside room', (w) => [place(w), wait(w, 101, 195)], 'left_waiting'],
	]
	for (const [name, play, rule] of cases) {
		const w = watch()
		play(w)
		assert.deepEqual(
			[...new Set(w.invariants.violations.map((b) => b.split(' ')[0]))],
			rule === null ? [] : [rule],
			name,
		)
	}
})

test('a day on which less than half is served, or the largest begin late, has failed', () => {
	const cases: [name: string, served: number, largestBeginsS: number, failed: RegExp[]][] = [
		['all served', 20, 10, []],
		['half', 10, 10, []],
		['less', 9, 10, [/9 of 20 of team core/, /9 of 20 of class any/]],
		['the largest late', 20, 241, [/largest of class any begin late/]],
		['the largest never', 18, Number.POSITIVE_INFINITY, [/begin late/, /0 of 2 of largest/]],
	]
	for (const [name, served, largestBeginsS, failed] of cases) {
		let now = 0
		const invariants = new InvariantChecker(() => now, 30_000, new Map())
		for (let i = 0; i < 20; i++) {
			const uid = `job-${String(i).padStart(6, '0')}`
			now = 0
			invariants.jobSubmitted(arrayJob(uid, { tasks: i >= 18 ? 9 : 1 }))
			invariants.observeStatus(uid, 201, 'pending', null)
			now = (i >= 18 ? largestBeginsS : 5) * 1000
			if (!Number.isFinite(now)) continue
			invariants.taskPlaced(`${uid}/0`, 'i-1', 'box', 'a', false)
			for (let n = 0; n < 9; n++) invariants.taskCompleted(`${uid}/${n}`)
			// The largest are served whenever that is not what is tried.
			if (i >= 18 || i < served - 2) invariants.observeStatus(uid, 200, 'done', 'pending')
		}
		const found = invariants.failures()
		assert.equal(found.length, failed.length, `${name}: ${found}`)
		for (const what of failed)
			assert.ok(
				found.some((f) => what.test(f)),
				`${name}: ${found}`,
			)
	}
})

test('starts after a confirmed cancellation are counted, and what users are told first is news', () => {
	const w = watch()
	const news: string[] = []
	w.invariants.onNewState = (_, state) => news.push(state)
	place(w)
	cancel(w)
	w.at(5)
	place(w, `${UID}/1`)
	w.invariants.observeStatus(UID, 200, 'aborted', 'aborted')
	assert.equal(w.invariants.placementsAfterCancellation, 1)
	assert.deepEqual(w.invariants.violations, [])
	assert.deepEqual(news, ['aborted'])
})
