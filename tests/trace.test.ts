/** Traces of simulations repeat by seed, show every byte that differs, and do not affect the simulation. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { arrayJob, digestMessages, Simulation, type TracedMessage, traceLine } from '@heathroad/testkit'

/** Long enough for a crash, a drain and a partition, with jobs before and after. */
const DAY_S = 90

const createSimulation = (seed: number): Simulation =>
	new Simulation({
		seed,
		untilS: DAY_S,
		loss: 0.01,
		drift: true,
		up: 2,
		jobs: Array.from({ length: 12 }, (_, i) => ({
			atS: 1 + i * 4,
			spec: arrayJob(`job-${String(i).padStart(6, '0')}`, { tasks: 4 }),
			...(i % 4 === 3 ? { cancelAtS: 8 + i * 4 } : {}),
		})),
		faults: [
			{ atS: 15, kind: 'crash', who: [0], forS: 3 },
			{ atS: 30, kind: 'drain', who: [1], forS: 3 },
			{ atS: 45, kind: 'cut', who: [2], from: ['state', 'peers'], forS: 8 },
		],
	})

const digest = (seed: number, dump: ((line: string) => void) | null = null) =>
	digestMessages((trace) => {
		const simulation = createSimulation(seed)
		simulation.trace = trace
		return simulation.run()
	}, dump)

test('a seed gives the same trace, whatever ran before in the process', async () => {
	const first = await digest(7)
	const other = await digest(8)
	const again = await digest(7)
	assert.deepEqual(again, first)
	assert.notEqual(other.sha256, first.sha256)
})

test('a trace holds the messages over each boundary in both directions', async () => {
	const lines: string[] = []
	const { messages } = await digest(7, (line) => lines.push(line))
	assert.equal(lines.length, messages)
	const expected = [
		/ctl-\d -> state:1 request POST \/txn timeout=/,
		/ctl-\d <- state:1 answer 200 to POST \/txn /,
		/ctl-\d -> cloud:1 request POST \/hosts timeout=/,
		/ctl-\d <- cloud:1 answer 200 to POST \/hosts /,
		/ctl-\d <- i-\d+ request POST \/checkin /,
		/ctl-\d -> i-\d+ answer 200 retry-after=none to POST \/checkin /,
		/ctl-\d -> 10\.0\.0\.\d:8081 request /,
		/ctl-\d <- ctl-\d request /,
		/ctl-\d -> ctl-\d answer 200 to /,
		/ctl-\d <- 10\.0\.0\.\d:8081 answer 200 to /,
		/ctl-\d <- user request POST \/v2\/runs /,
		/ctl-\d -> user answer \d+ retry-after=\S+ to POST \/v2\/runs /,
	]
	for (const pattern of expected)
		assert.ok(
			lines.some((line) => pattern.test(line)),
			String(pattern),
		)
})

test('a simulation has the same outcome whether it is traced or not', async () => {
	const [plain, traced] = [createSimulation(9), createSimulation(9)]
	traced.trace = () => {}
	await plain.run()
	await traced.run()
	const outcome = ({ invariants: checker, state, clock }: Simulation) => [
		checker.taskPlacements,
		state.requests,
		clock.random(),
	]
	assert.deepEqual(outcome(traced), outcome(plain))
})

test('a trace line contains the exact bytes of a message', () => {
	const message: TracedMessage = {
		atMs: 12.5,
		controller: 'ctl-0',
		other: 'state:1',
		direction: 'out',
		kind: 'request',
		head: 'POST /txn timeout=1000',
		body: { a: 1 },
	}
	const cases: [body: unknown, hex: string][] = [
		[{ a: 1 }, '81a16101'],
		[{ b: 1 }, '81a16201'],
		[{ a: 2n ** 40n }, '81a161d30000010000000000'],
		[undefined, '-'],
	]
	for (const [body, hex] of cases)
		assert.equal(
			traceLine({ ...message, body }),
			`12.5 ctl-0 -> state:1 request POST /txn timeout=1000 ${hex}`,
		)
})
