/** Machines that were booting at a takeover: how long a job counts on them (incident 28). */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import { arrayJob, BOX_MACHINE_TYPE, idleDependencies, plainSettings } from '@heathroad/testkit'

const settings = plainSettings('a')
const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
const TICK_MS = 250
/** Less than any machine is waited for under one owner. */
const OWNED_FOR_MS = 2000
/** An owner counts on a machine that it rented for so long, … */
const COUNTED_ON_S = BOX_MACHINE_TYPE.bootS * 1.8
/** … and returns one that does not boot after so long; no boots were seen. */
const KEPT_S = BOX_MACHINE_TYPE.bootS * 3

/** Machines of a group by their address; null: it has not booted. */
type Addresses = Record<string, string | null>

/** What a controller that takes a shard over finds. */
interface Found {
	addresses: Addresses
	/** age of the job that waits */
	jobAgeS: number
	/** for how long it has known the machines; null: they were on record before its first read */
	knownForS: number | null
}

/** Takes a shard over; returns for how many machines it asks, in each rental, and which ones it returns. */
const takeOver = ({ addresses, jobAgeS, knownForS }: Found): { rented: number[]; released: string[] } => {
	const rented: number[] = []
	const released: string[] = []
	let nowMs = 0
	const group = { part: 0, type: 'box', zone: 'a', spot: true, asked: 0, hosts: addresses }
	const record = { shardId: 0, spec: arrayJob('job-000001', { tasks: 4 }), acceptedAtMs: 0 }
	const arrival = knownForS === null ? {} : { arrivedAt: -knownForS * 1000 }
	const ports = idleDependencies({
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
	const shard = new Shard(0, 3, config, ports)
	for (; nowMs <= OWNED_FOR_MS; nowMs += TICK_MS) shard.tick()
	return { rented, released }
}

const booting = (count: number): Addresses =>
	Object.fromEntries(Array.from({ length: count }, (_, index) => [`i-${index}`, null]))

test('a machine whose rental this controller saw is waited for as long as under one owner', () => {
	const cases = [
		{ name: 'it may still come', knownForS: COUNTED_ON_S - 3, rented: [], released: [] },
		{ name: 'another one is rented', knownForS: COUNTED_ON_S + 1, rented: [1], released: [] },
		{ name: 'it is returned too', knownForS: KEPT_S + 1, rented: [1], released: ['i-0'] },
	]
	for (const { name, knownForS, ...expected } of cases)
		assert.deepEqual(takeOver({ addresses: booting(1), jobAgeS: KEPT_S * 9, knownForS }), expected, name)
})

test('a job that waits for longer than boots of unknown age may take asks for one more machine', () => {
	type Case = [name: string, addresses: Addresses, jobAgeS: number, rented: number[]]
	const cases: Case[] = [
		['the machines may still come', booting(10), KEPT_S - 3, []],
		['the only one takes too long', booting(1), KEPT_S + 1, [1]],
		['two could have failed one after the other', booting(2), KEPT_S * 2 + 1, [1]],
		['the second may still come', booting(2), KEPT_S * 2 - 3, []],
		['one of them is up', { ...booting(1), 'i-9': 'i-9:1' }, KEPT_S * 9, []],
	]
	for (const [name, addresses, jobAgeS, rented] of cases) {
		const outcome = takeOver({ addresses, jobAgeS, knownForS: null })
		assert.deepEqual(outcome, { rented, released: [] }, name)
	}
})
