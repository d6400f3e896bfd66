/** Compares the machines that the cloud lists with those that records name. */

import { type HttpClient, isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import type { Finding } from './finding.js'
import { ServiceUnavailable } from './walk.js'

/** A machine that the cloud lists. */
export interface ListedMachine {
	id: string
	status: string
	/** seconds since it was requested */
	heldS: number
}

/** How to read the cloud's list. */
export interface MachineListRequest {
	/** of the cloud's API, as HOST:PORT */
	address: string
	callsPerS: number
	timeoutMs: number
}

/** Machines on one page of the list. */
const MACHINES_PER_PAGE = 500
/** Failed calls in a row after which reading the list fails; with the machines grows the number of its pages. */
const MAX_FAILURES = 5
/** A machine is young for this many times the lag of the list: its record may be missing meanwhile. */
const YOUNG_LAGS = 4

/** Reads the cloud's list of machines page by page, within a rate of calls. */
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
				if (++failures >= MAX_FAILURES)
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
 * Finds machines that are charged and that no record names, and records of machines that are gone. The list lags: a
 * machine counts as unrecorded only if it is not young, and only what two lists, read some time apart, agree on is
 * reported. `recorded`: machines and the key of the record of each; `lagS`: seconds by which the list may lag.
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
		const isUnrecorded = first.has(id) && !recorded.has(id) && heldS > lagS * YOUNG_LAGS
		if (status !== 'failed' && isUnrecorded)
			findings.push({ key: id, what: `is charged since ${Math.round(heldS)} s, and no record knows it` })
	}
	for (const [id, key] of recorded)
		if (!first.has(id) && !second.has(id))
			findings.push({ key, what: `holds machine ${id}, which the cloud does not list` })
	return findings
}
