/** After a takeover: how long jobs wait for machines that were already booting (incident 28). */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import { arrayJob, BOX_MACHINE_TYPE, idleDependencies, plainSettings } from '@heathroad/testkit'

const settings = plainSettings('a')
const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
const TICK_MS = 250
/** How long the new owner runs: shorter than the time for which any owner waits for a booting machine. */
const OWNED_FOR_MS = 2000
/** Without observed boots, an owner gives up a booting machine after this time and rents another one. */
const GIVE_UP_AFTER_S = BOX_MACHINE_TYPE.bootS * 1.8
/** Without observed boots, an owner releases a machine that has not booted after this time. */
const RELEASE_AFTER_S = BOX_MACHINE_TYPE.bootS * 3

/** Addresses of a group's machines by machine id; null: the machine has not booted. */
type Addresses = Record<string, string | null>

/** State of a shard at a takeover. */
interface InheritedState {
	addresses: Addresses
	/** age of the waiting job */
	jobAgeS: number
	/** time since the new owner saw the rental of the machines; null: it was on record before the owner's first read */
	knownForS: number | null
}

/** Takes a shard over; returns the number of machines in each requested scale-out, and the released machines. */
const takeOver = ({
	addresses,
	jobAgeS,
	knownForS,
}: InheritedState): { rented: number[]; released: string[] } => {
	const rented: number[] = []
	const released: string[] = []
	let nowMs = 0
	const group = { part: 0, type: 'box', zone: 'a', spot: true, asked: 0, hosts: addresses }
	const record = { shardId: 0, spec: arrayJob('job-000001', { tasks: 4 }), acceptedAtMs: 0 }
	const arrival = knownForS === null ? {} : { arrivedAt: -knownForS * 1000 }
	const dependencies = idleDependencies({
		now: () => nowMs,
		wallClockMs: () => jobAgeS * 1000 + nowMs,
		withPrefix: (prefix) =>
			prefix === 'fleet/' ? [['fleet/r', { data: group, modRevision: 2, ...arrival }]] : [],
		job: () => ({ record, modRevision: 0 }),
		openJobs: () => ['job-000001'],
		availableCloudCalls: () => 10,
		log: (_level, event, fields) => {
			if (event === 'scale-out requested') rented.push(Number(fields?.count))
		},
		releaseMachines: (ids) => released.push(...ids),
	})
	const shard = new Shard(0, 3, config, dependencies)
	for (; nowMs <= OWNED_FOR_MS; nowMs += TICK_MS) shard.tick()
	return { rented, released }
}

const booting = (count: number): Addresses =>
	Object.fromEntries(Array.from({ length: count }, (_, index) => [`i-${index}`, null]))

test('a new owner that saw the rental of a booting machine waits for it as long as the previous owner would', () => {
	const cases = [
		{ name: 'it may still boot', knownForS: GIVE_UP_AFTER_S - 3, rented: [], released: [] },
		{ name: 'another one is rented', knownForS: GIVE_UP_AFTER_S + 1, rented: [1], released: [] },
		{
			name: 'another one is rented, and it is released',
			knownForS: RELEASE_AFTER_S + 1,
			rented: [1],
			released: ['i-0'],
		},
	]
	for (const { name, knownForS, ...expected } of cases)
		assert.deepEqual(
			takeOver({ addresses: booting(1), jobAgeS: RELEASE_AFTER_S * 9, knownForS }),
			expected,
			name,
		)
})

test('one more machine is rented for a job that has waited longer than boots of unknown age may take', () => {
	type Case = [name: string, addresses: Addresses, jobAgeS: number, rented: number[]]
	const cases: Case[] = [
		['the machines may still boot', booting(10), RELEASE_AFTER_S - 3, []],
		['the only machine should have booted', booting(1), RELEASE_AFTER_S + 1, [1]],
		['two machines could have failed one after the other', booting(2), RELEASE_AFTER_S * 2 + 1, [1]],
		['the second machine may still boot', booting(2), RELEASE_AFTER_S * 2 - 3, []],
		['one of the machines has booted', { ...booting(1), 'i-9': 'i-9:1' }, RELEASE_AFTER_S * 9, []],
	]
	for (const [name, addresses, jobAgeS, rented] of cases) {
		const outcome = takeOver({ addresses, jobAgeS, knownForS: null })
		assert.deepEqual(outcome, { rented, released: [] }, name)
	}
})
