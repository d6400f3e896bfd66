/** Compares the machines that the cloud lists with those in the state service's records. */

import { type HttpClient, isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import type { Finding } from './finding.js'
import { ServiceUnavailable } from './walk.js'

/** An entry of the cloud's list of machines. */
export interface ListedMachine {
	id: string
	status: string
	/** seconds since the machine was requested */
	heldS: number
}

/** Parameters for reading the cloud's list of machines. */
export interface MachineListRequest {
	/** HOST:PORT of the cloud's API */
	address: string
	callsPerS: number
	timeoutMs: number
}

/** Maximum number of machines on one page of the list. */
const MACHINES_PER_PAGE = 500
/** Consecutive failed calls after which reading fails; not a total, as more machines take more pages and calls. */
const MAX_CONSECUTIVE_FAILURES = 5
/** A machine is new for this multiple of the list's lag: until then its record may be missing. */
const NEW_MACHINE_LAG_FACTOR = 4

/** Reads the cloud's list of machines page by page, at a limited rate of calls. */
export const listMachines = (
	httpClient: HttpClient,
	{ address, callsPerS, timeoutMs }: MachineListRequest,
): Effect.Effect<ListedMachine[], ServiceUnavailable> =>
	Effect.gen(function* () {
		const machines = new Map<string, ListedMachine>()
		let from: string | null = null
		for (let failures = 0; ; ) {
			yield* Effect.sleep(1000 / callsPerS)
			const after: string = from === null ? '' : `&from=${from}`
			const reply = yield* httpClient
				.request(address, 'GET', `/hosts?page=${MACHINES_PER_PAGE}${after}`, undefined, timeoutMs)
				.pipe(Effect.catch(() => Effect.succeed(null)))
			const body = reply?.status === 200 && isMap(reply.body) ? reply.body : null
			if (body === null || !Array.isArray(body.hosts)) {
				if (++failures >= MAX_CONSECUTIVE_FAILURES)
					return yield* Effect.fail(new ServiceUnavailable('the cloud does not answer'))
				continue
			}
			failures = 0
			const hosts = body.hosts.filter(isMap)
			for (const host of hosts) {
				const id = String(host.uid)
				machines.set(id, { id, status: String(host.status), heldS: Number(host.heldS) })
			}
			if (body.truncated !== true || hosts.length === 0) return [...machines.values()]
			from = String(hosts[hosts.length - 1].uid)
		}
	})

const byId = (machines: readonly ListedMachine[]): Map<string, ListedMachine> =>
	new Map(machines.map((machine) => [machine.id, machine]))

/**
 * Finds machines that are charged but not recorded, and records of machines that no longer exist. As the list lags, new
 * machines are not reported as unrecorded, and a difference is reported only if two lists, read some time apart, agree
 * on it. `recorded`: keys of records by machine id; `lagS`: seconds by which the list may lag.
 */
export const compareMachines = (
	lists: readonly [readonly ListedMachine[], readonly ListedMachine[]],
	recorded: ReadonlyMap<string, string>,
	lagS: number,
): Finding[] => {
	const first = byId(lists[0])
	const second = byId(lists[1])
	const findings: Finding[] = []
	for (const [id, { status, heldS }] of second) {
		const isUnrecorded = first.has(id) && !recorded.has(id) && heldS > lagS * NEW_MACHINE_LAG_FACTOR
		if (status !== 'failed' && isUnrecorded)
			findings.push({ key: id, what: `is charged since ${Math.round(heldS)} s, and no record knows it` })
	}
	for (const [id, key] of recorded)
		if (!first.has(id) && !second.has(id))
			findings.push({ key, what: `holds machine ${id}, which the cloud does not list` })
	return findings
}
