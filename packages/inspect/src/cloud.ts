import { type HttpClient, isMap } from '@heathroad/wire'
import { Effect } from 'effect'
import type { Finding } from './check.js'
import { Unreadable } from './walk.js'

/** A machine that the cloud lists. */
export interface Listed {
	id: string
	status: string
	/** seconds since it was asked for */
	heldS: number
}

/** The cloud's list of machines, in pages, within a rate of calls. */
export const listMachines = (
	httpClient: HttpClient,
	address: string,
	perS: number,
	timeoutMs: number,
): Effect.Effect<Listed[], Unreadable> =>
	Effect.gen(function* () {
		const all = new Map<string, Listed>()
		let from: string | null = null
		for (let failures = 0; ; ) {
			yield* Effect.sleep(1000 / perS)
			const after: string = from === null ? '' : `&from=${from}`
			const answer = yield* httpClient
				.request(address, 'GET', `/hosts?page=500${after}`, undefined, timeoutMs)
				.pipe(Effect.catch(() => Effect.succeed(null)))
			const body = answer?.status === 200 && isMap(answer.body) ? answer.body : null
			if (body === null || !Array.isArray(body.hosts)) {
				if (++failures >= 5) return yield* Effect.fail(new Unreadable('the cloud does not answer'))
				continue
			}
			const hosts = body.hosts.filter(isMap)
			for (const h of hosts)
				all.set(String(h.uid), { id: String(h.uid), status: String(h.status), heldS: Number(h.heldS) })
			if (body.truncated !== true || hosts.length === 0) return [...all.values()]
			from = String(hosts[hosts.length - 1].uid)
		}
	})

/**
 * Machines that are charged and that no record knows, and records of machines that are gone. The list lags: a machine
 * is only missed if it is no longer young, and only where `twice` lists, some time apart, say the same.
 */
export const compareMachines = (
	lists: readonly [readonly Listed[], readonly Listed[]],
	known: ReadonlyMap<string, string>,
	lagS: number,
): Finding[] => {
	const [first, second] = lists.map((l) => new Map(l.map((m) => [m.id, m])))
	const findings: Finding[] = []
	for (const [id, m] of second)
		if (m.status !== 'failed' && first.has(id) && !known.has(id) && m.heldS > lagS * 4)
			findings.push({ key: id, what: `is charged since ${Math.round(m.heldS)} s, and no record knows it` })
	for (const [id, key] of known)
		if (!first.has(id) && !second.has(id))
			findings.push({ key, what: `holds machine ${id}, which the cloud does not list` })
	return findings
}
