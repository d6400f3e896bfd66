/**
 * Terminal states were lost where a full read of several requests, or another slow request, overlapped a move of a state.
 *
 * Each test holds one response back and moves a state meanwhile. Three things were wrongly taken for proof of absence: an
 * archive page read before a move that the full read covered; a full read that lost the accepted batches it had seen, as
 * another one was applied; the archival epoch at the first revision of a full read, though another one began during it. A
 * state that left memory before its stream was opened was never delivered, and a write that was confirmed after the watch
 * had delivered the deletion of its key brought the key back.
 */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import {
	encodeJobRecord,
	encodeTerminalPage,
	jobKey,
	terminalJobRecord,
	terminalPageKey,
	toTerminalJob,
} from '@heathroad/cluster'
import { arrayJob } from '@heathroad/testkit'
import { Effect } from 'effect'
import { Records, SteppedController, Stream } from './stepped-controller.js'

const TEAM = { team: 'core' }
/** Time in which requests that are not held back are answered, in ms. */
const SETTLED_MS = 20
const LOST = 'job-000500'
const OTHER = 'job-000600'
const settle = () => new Promise((done) => setTimeout(done, SETTLED_MS))

for (const isKnownBefore of [true, false])
	test(`an archive page read before a move that a full read of two requests covers is no proof of absence; the page was in memory before: ${isKnownBefore}`, async () => {
		const records = new Records(50)
		const controller = new SteppedController(records)
		records.fillFirstPage()
		records.setFormat(false)
		if (isKnownBefore) {
			records.accept(LOST)
			records.finishOnPage(LOST)
			records.removeAcceptance(LOST)
		}
		await controller.read()
		if (!isKnownBefore) {
			records.accept(LOST)
			records.finishOnPage(LOST)
			records.removeAcceptance(LOST)
		}
		// The watch has to restart, with a full read of two pages.
		records.makeUnrelatedChanges(200)
		let firstPage: (() => void) | null = null
		let archivePage: (() => void) | null = null
		const paths: string[] = []
		controller.delayResponse = (path) => {
			paths.push(path)
			if (
				path.startsWith('/store') &&
				path.includes('page=1000') &&
				!path.includes('&from=') &&
				firstPage === null
			)
				return new Promise((done) => {
					firstPage = done
				})
			if (path.startsWith('/store') && !path.includes('page=1000') && archivePage === null)
				return new Promise((done) => {
					archivePage = done
				})
			return null
		}
		const fullRead = controller.read()
		await settle()
		assert.ok(firstPage !== null, 'the first page is read, its response in flight')
		const other = Effect.runPromise(controller.service.jobLocator.locate(OTHER))
		await settle()
		assert.ok(archivePage !== null, `the archive is read, its response in flight: ${paths.join(' ')}`)
		records.archive()
		;(firstPage as () => void)()
		await fullRead
		;(archivePage as () => void)()
		assert.equal((await other).kind, 'absent')
		await controller.read()
		const location = await Effect.runPromise(controller.service.jobLocator.locateNow(LOST))
		assert.equal(location.kind, 'archived', JSON.stringify(location))
	})

const isFullRead = (path: string) => path.startsWith('/store') && path.includes('page=1000')

test('a full read keeps the accepted batches it has seen when another one is applied: no finished job is open again', async () => {
	const records = new Records()
	const controller = new SteppedController(records)
	records.fillFirstPage()
	records.write(...Array.from({ length: 1000 }, (_, index) => ({ set: `intakf/${index}`, data: 0 })))
	await controller.read()
	records.makeUnrelatedChanges(3)
	// Full read A is answered late: its last page is served, the response is in flight.
	let deliverA = () => {}
	let pages = 0
	controller.delayResponse = (path) =>
		isFullRead(path) && ++pages === 3 ? new Promise((done) => (deliverA = done)) : null
	const first = controller.readAllKeys()
	await settle()
	assert.equal(pages, 3)
	records.accept(LOST)
	records.finishUnderOwnKey(LOST)
	let deliverB = () => {}
	pages = 0
	controller.delayResponse = (path) =>
		isFullRead(path) && ++pages === 3 ? new Promise((done) => (deliverB = done)) : null
	const second = controller.readAllKeys()
	await settle()
	assert.equal(pages, 3, 'full read B has seen the batch, and its last page is in flight')
	deliverA()
	await first
	deliverB()
	await second
	await controller.read()
	const location = await Effect.runPromise(controller.service.jobLocator.locateNow(LOST))
	assert.ok(!controller.service.jobs.openJobs.has(LOST), `${LOST} is ${location.kind}`)
})

test('a state archived during a full read, in an epoch that begins during it, leaves no silent gap in a team stream', async () => {
	const records = new Records(50)
	const controller = new SteppedController(records)
	records.fillFirstPage()
	records.setFormat(false)
	const stream = await controller.open(TEAM)
	assert.ok(stream instanceof Stream)
	const cursor = stream.take().subscription.cursor()
	records.accept(LOST)
	records.finishOnPage(LOST)
	records.removeAcceptance(LOST)
	records.makeUnrelatedChanges(200)
	let deliver: (() => void) | null = null
	controller.delayResponse = (path) =>
		isFullRead(path) && deliver === null ? new Promise((done) => (deliver = done)) : null
	const fullRead = controller.read()
	await settle()
	assert.ok(deliver !== null)
	records.archive()
	;(deliver as () => void)()
	await fullRead
	const resumed = await controller.open(TEAM, cursor)
	const outcome = resumed instanceof Stream ? resumed.take().terminalJobs : String(resumed)
	if (outcome !== 'out of range' && outcome !== 'null') assert.deepEqual(outcome, [LOST])
})

test('a repeated cancellation of long ago is confirmed at once, also after its state has moved to a page', async () => {
	const records = new Records()
	const controller = new SteppedController(records)
	records.setFormat(true)
	const job = toTerminalJob(LOST, 'aborted', arrayJob(LOST, { tasks: 5 }), 5)
	const revision = records.write({ set: jobKey(LOST), data: encodeJobRecord(terminalJobRecord(0, job)) })
	await controller.read()
	const before = controller.service.cancellations.knownForMs(LOST)
	records.write(
		{
			set: terminalPageKey(0),
			data: encodeTerminalPage({ shardId: 0, batches: [{ revision, jobs: [job] }] }),
		},
		{ delete: jobKey(LOST) },
	)
	await controller.read()
	const after = controller.service.cancellations.knownForMs(LOST)
	assert.equal(after, before)
})

test('an own write that is confirmed late does not restore a key that was deleted since', async () => {
	const records = new Records()
	const controller = new SteppedController(records)
	const revision = records.finishUnderOwnKey(LOST)
	await controller.read()
	records.write({ delete: jobKey(LOST) })
	await controller.read()
	controller.service.cache.applyOwnWrite(
		jobKey(LOST),
		encodeJobRecord(terminalJobRecord(0, toTerminalJob(LOST, 'aborted', arrayJob(LOST, { tasks: 5 }), 5))),
		revision,
	)
	assert.equal(controller.service.cache.get(jobKey(LOST)), undefined)
})

test('the terminal state of a job by id that was located on a page and archived during the lookup of another one is delivered', async () => {
	const SINGLE_KEY = `page=1`
	const UNKNOWN = 'job-000900'
	const records = new Records()
	const controller = new SteppedController(records, 1)
	records.setFormat(true)
	const revision = records.finishUnderOwnKey(LOST)
	for (const uid of ['job-000701', 'job-000702']) {
		records.accept(uid)
		records.finishOnPage(uid)
	}
	await controller.read()
	await controller.read()
	const isKeyRead = (path: string, uid: string) => path.includes(`job/${uid}`) && path.endsWith(SINGLE_KEY)
	controller.beforeRequest = (path) => {
		if (isKeyRead(path, LOST)) records.moveToPage(LOST, revision)
	}
	let deliver: (() => void) | null = null
	controller.delayResponse = (path) =>
		isKeyRead(path, UNKNOWN) ? new Promise((done) => (deliver = done)) : null
	const opening = controller.open({ uids: [LOST, UNKNOWN] })
	await settle()
	await controller.read()
	await settle()
	assert.ok(deliver !== null, 'the second key is read, its response in flight')
	assert.ok(controller.service.jobs.isOnTerminalPage(LOST), 'the first is located on a page')
	records.archive()
	for (const uid of ['job-000701', 'job-000702']) records.removeAcceptance(uid)
	await controller.read()
	for (const uid of ['job-000703', 'job-000704']) {
		records.accept(uid)
		records.finishOnPage(uid)
	}
	await controller.read()
	;(deliver as () => void)()
	await settle()
	const stream = await opening
	if (stream === null) return
	assert.ok(stream instanceof Stream)
	assert.deepEqual(stream.take().terminalJobs, [LOST])
})
