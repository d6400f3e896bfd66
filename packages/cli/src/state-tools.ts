import type { Config } from '@heathroad/config'
import {
	BadSnapshot,
	Checker,
	compareMachines,
	diffStates,
	exportState,
	IdSet,
	importState,
	listMachines,
	openSnapshot,
	Unreadable,
	type WalkLimits,
	walk,
} from '@heathroad/inspect'
import { createStoreClient } from '@heathroad/store'
import { createHttpClient } from '@heathroad/wire'
import { Effect } from 'effect'

/** Exit codes: 0 nothing to say, 1 findings, differences or no answer, 2 a file or settings that cannot be used. */
const EXIT = { found: 1, unusable: 2 } as const

const print = (line: string): void => void process.stdout.write(`${line}\n`)

/** What is wrong with a file, or with the services, in one line. */
const guarded = async (work: () => Promise<number>): Promise<void> => {
	try {
		process.exitCode = await work()
	} catch (e) {
		if (!(e instanceof BadSnapshot || e instanceof Unreadable)) throw e
		process.stderr.write(`heathroad: ${e.message}\n`)
		process.exitCode = e instanceof BadSnapshot ? EXIT.unusable : EXIT.found
	}
}

/** Tools take one controller's share of the requests at most, beside those that run. */
const reach = ({ settings, limits: derived }: Config) => {
	const httpClient = createHttpClient(2)
	const client = createStoreClient(
		httpClient,
		settings.services.state,
		derived.controllerLeaseMs * 0.6,
		() => {},
	)
	const limits: WalkLimits = { perS: derived.readsPerS / 2, tries: 60 }
	return { caller: httpClient, client, limits }
}

const run = <A>(effect: Effect.Effect<A, Unreadable>): Promise<A> => Effect.runPromise(effect)

export const check = (config: Config, withCloud: boolean): Promise<void> =>
	guarded(async () => {
		const { caller: httpClient, client, limits } = reach(config)
		const { settings, limits: derived } = config
		const checker = new Checker(derived.controllerNames.length, await IdSet.make())
		await run(walk(client, limits, (entries) => entries.forEach((e) => checker.entry(e))))
		checker.finish()
		if (checker.twice.size > 0)
			await run(walk(client, limits, (entries) => entries.forEach((e) => checker.again(e))))
		const findings = [...checker.findings]
		if (withCloud) {
			const lagS = settings.deployment.cloud.list_lag_s
			const list = () =>
				run(
					listMachines(
						httpClient,
						settings.services.cloud,
						derived.cloudCallsPerS / 2,
						derived.controllerLeaseMs * 2,
					),
				)
			const first = await list()
			await new Promise((done) => setTimeout(done, lagS * 2000))
			findings.push(...compareMachines([first, await list()], checker.known, lagS))
		}
		httpClient.close()
		for (const f of findings) print(`${f.key}: ${f.what}`)
		process.stderr.write(`${checker.keys} keys, ${findings.length} findings\n`)
		return findings.length > 0 ? EXIT.found : 0
	})

export const save = (config: Config, file: string): Promise<void> =>
	guarded(async () => {
		const { caller: httpClient, client, limits } = reach(config)
		const { revision, keys } = await run(exportState(client, file, limits))
		httpClient.close()
		print(`${file}: ${keys} keys as of epoch ${revision}`)
		return 0
	})

export const restore = (config: Config, file: string): Promise<void> =>
	guarded(async () => {
		const snapshot = await openSnapshot(file)
		const { caller: httpClient, client, limits } = reach(config)
		const { state } = config.settings.deployment
		// Nothing else runs on an empty state: all of the rate but a reserve is ours.
		const changesPerS = state.write_rps * 0.8
		const all = { ...limits, changesPerS, ops: state.txn_ops, bytes: 48 * 1024 }
		const { keys } = await importState(client, snapshot, all)
		httpClient.close()
		print(`${file}: ${keys} keys restored`)
		return 0
	})

export const compare = (before: string, after: string): Promise<void> =>
	guarded(async () => {
		const lines = await diffStates(await openSnapshot(before), await openSnapshot(after))
		for (const line of lines) print(line)
		return lines.length > 0 ? EXIT.found : 0
	})
