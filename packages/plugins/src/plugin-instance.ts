/** One loaded version of a plug-in. */
import { type Hook, InvalidAnswer, readAdmission, readRelease } from '@heathroad/plugin-api'
import { CircuitBreaker } from './circuit-breaker.js'
import { FaultAttribution } from './fault-attribution.js'
import type { CallOutcome, PluginCall } from './plugin-call.js'
import type { LoadedPlugin } from './plugin-directory.js'
import type { PluginRuntime, RuntimeFactory, RuntimeListener, RuntimePermissions } from './runtime.js'

/** Delay of a restart, doubled with each end of the runtime since the latest valid answer, in ms. */
const RESTART_DELAY_MS = { base: 100, max: 60_000 } as const
/** Keeps the doubled delay a number that can be represented. */
const MAX_DOUBLINGS = 16
/**
 * The runtime limits the time of a call itself, and its message may arrive late. A runtime that has not reported after
 * this multiple of the call's time hangs and is ended.
 */
const CALL_TIMEOUT_FACTOR = 1.5

/** What an instance reports. */
export interface PluginInstanceListener {
	/** it was loaded, for the first time or after a restart */
	onReady(instance: PluginInstance): void
	/** it was never ready and could not be loaded; it stays stopped until `restartLater` */
	onLoadFailed(instance: PluginInstance, why: string): void
	onCallEnded(instance: PluginInstance, call: PluginCall, outcome: CallOutcome): void
	/** it may take a call again */
	onAvailable(instance: PluginInstance): void
}

/** What an instance needs to start. */
export interface PluginInstanceContext {
	permissions: RuntimePermissions
	startRuntime: RuntimeFactory
	/** steady time in ms */
	now: () => number
}

const validateAnswer = (hook: Hook, value: unknown): CallOutcome => {
	const answer = hook === 'admit' ? readAdmission(value) : readRelease(value)
	return answer instanceof InvalidAnswer
		? { kind: 'failure', why: answer.why }
		: { kind: 'answer', value: answer }
}

/** One version of a plug-in: its runtime, which is restarted when it ends, the call under way, and its faults. */
export class PluginInstance {
	readonly breaker = new CircuitBreaker()
	readonly faults = new FaultAttribution()
	/** number of restarts */
	restarts = 0
	private runtime: PluginRuntime | null = null
	/** shown to operators; `resting`: waits for its restart, `over`: ended for good */
	private state: 'starting' | 'ready' | 'resting' | 'over' = 'starting'
	private callUnderWay: { call: PluginCall; timer: ReturnType<typeof setTimeout> } | null = null
	private restartTimer: ReturnType<typeof setTimeout> | null = null
	/** ends of the runtime since the latest valid answer */
	private endsSinceAnswer = 0
	private wasReady = false
	/** number of the present runtime; reports of earlier ones are ignored */
	private runtimeNumber = 0

	constructor(
		readonly plugin: LoadedPlugin,
		private readonly context: PluginInstanceContext,
		private readonly listener: PluginInstanceListener,
	) {}

	get version(): string {
		return this.plugin.manifest.version
	}

	/** Loads the module; from then on it is loaded again whenever its runtime ends. */
	start(): void {
		this.restartTimer = null
		this.state = 'starting'
		const reports = this.createRuntimeListener()
		try {
			this.runtime = this.context.startRuntime(this.plugin, this.context.permissions, reports)
		} catch (error) {
			// No thread could be created.
			reports.ended((error as Error).message)
		}
	}

	/** Whether it may take a call now. */
	get isAvailable(): boolean {
		if (this.state !== 'ready' || this.callUnderWay !== null) return false
		return this.breaker.state(this.context.now()) !== 'open'
	}

	/** Whether a call is under way. */
	get isBusy(): boolean {
		return this.callUnderWay !== null
	}

	/** Its condition, for operators. */
	get condition(): string {
		const circuit = this.breaker.state(this.context.now())
		return this.state === 'ready' && circuit !== 'closed' ? `ready, breaker ${circuit}` : this.state
	}

	/** Makes a call; it must be available. */
	send(call: PluginCall): void {
		const { runtime } = this
		if (runtime === null) throw new Error('the plug-in has no runtime')
		const onTimeout = () => {
			if (this.callUnderWay?.call === call) this.runtimeEnded(`no answer within ${call.tryTimeoutMs} ms`)
		}
		this.callUnderWay = { call, timer: setTimeout(onTimeout, call.tryTimeoutMs * CALL_TIMEOUT_FACTOR) }
		runtime.call(call.id, call.hook, call.args, call.tryTimeoutMs)
	}

	/** Schedules a restart; the delay grows with each end of the runtime since the latest valid answer. */
	restartLater(): void {
		if (this.state === 'over') return
		this.state = 'resting'
		this.restarts++
		const doublings = Math.min(MAX_DOUBLINGS, this.endsSinceAnswer)
		const delayMs = this.endsSinceAnswer === 0 ? 0 : RESTART_DELAY_MS.base * 2 ** doublings
		this.endsSinceAnswer++
		this.restartTimer = setTimeout(() => this.start(), Math.min(RESTART_DELAY_MS.max, delayMs))
	}

	/** Ends it for good. A call under way fails with this reason. */
	end(why: string): void {
		if (this.state === 'over') return
		this.state = 'over'
		this.dropRuntime()
		if (this.restartTimer !== null) clearTimeout(this.restartTimer)
		this.endCall({ kind: 'failure', why })
	}

	/** The listener of the next runtime; it ignores reports once that runtime is dropped. */
	private createRuntimeListener(): RuntimeListener {
		this.runtimeNumber++
		const number = this.runtimeNumber
		const ifCurrent = (handle: () => void): void => {
			if (number === this.runtimeNumber && this.state !== 'over') handle()
		}
		return {
			ready: () => ifCurrent(() => this.runtimeReady()),
			answer: (id, value) => ifCurrent(() => this.callReturned(id, (hook) => validateAnswer(hook, value))),
			failed: (id, why) => ifCurrent(() => this.callReturned(id, () => ({ kind: 'failure', why }))),
			ended: (why) => ifCurrent(() => this.runtimeEnded(why)),
		}
	}

	private runtimeReady(): void {
		this.state = 'ready'
		this.wasReady = true
		this.listener.onReady(this)
		this.listener.onAvailable(this)
	}

	/** A second answer, or one to a call that was given up, has the id of no call under way and is ignored. */
	private callReturned(id: number, outcomeOf: (hook: Hook) => CallOutcome): void {
		const call = this.callUnderWay?.call
		if (call?.id !== id) return
		const outcome = outcomeOf(call.hook)
		if (outcome.kind === 'answer') this.endsSinceAnswer = 0
		this.endCall(outcome)
		this.listener.onAvailable(this)
	}

	private endCall(outcome: CallOutcome): void {
		if (this.callUnderWay === null) return
		const { call, timer } = this.callUnderWay
		clearTimeout(timer)
		this.callUnderWay = null
		this.listener.onCallEnded(this, call, outcome)
	}

	private runtimeEnded(why: string): void {
		this.dropRuntime()
		if (this.wasReady) {
			this.restartLater()
		} else {
			this.state = 'resting'
			this.listener.onLoadFailed(this, why)
		}
		this.endCall({ kind: 'failure', why })
	}

	/** Ends the runtime; its further reports are ignored. */
	private dropRuntime(): void {
		const { runtime } = this
		this.runtimeNumber++
		this.runtime = null
		runtime?.end()
	}
}
