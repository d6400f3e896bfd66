/** Runs one version of a plug-in. */
import { type Hook, InvalidAnswer, readAdmission, readRelease } from '@heathroad/plugin-api'
import { CircuitBreaker } from './circuit-breaker.js'
import { FaultAttribution } from './fault-attribution.js'
import type { CallOutcome, PluginCall } from './plugin-call.js'
import type { LoadedPlugin } from './plugin-directory.js'
import type { PluginRuntime, RuntimeFactory, RuntimeListener, RuntimePermissions } from './runtime.js'

/** Backoff of restarts in ms, doubled with each restart since the latest valid answer; the first is immediate. */
const RESTART_DELAY_MS = { base: 100, max: 60_000 } as const
/** Keeps the doubled delay within the range of numbers. */
const MAX_DOUBLINGS = 16
/**
 * The runtime enforces the timeout of a call itself, and its message may arrive late. A runtime that has not reported
 * after this multiple of the timeout is considered hung and is ended.
 */
const CALL_TIMEOUT_FACTOR = 1.5

/** Receives the events of an instance. */
export interface PluginInstanceListener {
	/** the module was loaded, for the first time or after a restart */
	onReady(instance: PluginInstance): void
	/** the module could not be loaded and never was; the instance stays stopped until `restartLater` is called */
	onLoadFailed(instance: PluginInstance, why: string): void
	onCallEnded(instance: PluginInstance, call: PluginCall, outcome: CallOutcome): void
	/** the instance can take a call again */
	onAvailable(instance: PluginInstance): void
}

/** Permissions of an instance, and the functions that it uses. */
export interface PluginInstanceContext {
	permissions: RuntimePermissions
	startRuntime: RuntimeFactory
	/** monotonic time in ms */
	now: () => number
}

const validateAnswer = (hook: Hook, value: unknown): CallOutcome => {
	const answer = hook === 'admit' ? readAdmission(value) : readRelease(value)
	return answer instanceof InvalidAnswer
		? { kind: 'failure', why: answer.why }
		: { kind: 'answer', value: answer }
}

/** One version of a plug-in: owns its runtime, restarts it whenever it ends, and makes one call at a time. */
export class PluginInstance {
	readonly breaker = new CircuitBreaker()
	readonly faults = new FaultAttribution()
	/** number of restarts */
	restarts = 0
	private runtime: PluginRuntime | null = null
	/** shown to operators; `resting`: stopped, may be restarted; `over`: permanently ended */
	private state: 'starting' | 'ready' | 'resting' | 'over' = 'starting'
	private currentCall: { call: PluginCall; timer: ReturnType<typeof setTimeout> } | null = null
	private restartTimer: ReturnType<typeof setTimeout> | null = null
	/** number of restarts since the latest valid answer */
	private restartsSinceAnswer = 0
	private wasReady = false
	/** number of the current runtime; reports of earlier ones are ignored */
	private runtimeNumber = 0

	constructor(
		readonly plugin: LoadedPlugin,
		private readonly context: PluginInstanceContext,
		private readonly listener: PluginInstanceListener,
	) {}

	get version(): string {
		return this.plugin.manifest.version
	}

	/** Starts a runtime, which loads the module. */
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

	/** Whether the instance can take a call now. */
	get isAvailable(): boolean {
		if (this.state !== 'ready' || this.currentCall !== null) return false
		return this.breaker.state(this.context.now()) !== 'open'
	}

	/** Whether a call is in flight. */
	get isBusy(): boolean {
		return this.currentCall !== null
	}

	/** The state of the instance or of its circuit breaker, shown to operators. */
	get condition(): string {
		const circuit = this.breaker.state(this.context.now())
		return this.state === 'ready' && circuit !== 'closed' ? `ready, breaker ${circuit}` : this.state
	}

	/** Makes a call; allowed only while `isAvailable` is true. */
	send(call: PluginCall): void {
		const { runtime } = this
		if (runtime === null) throw new Error('the plug-in has no runtime')
		const onTimeout = () => {
			if (this.currentCall?.call === call) this.runtimeEnded(`no answer within ${call.tryTimeoutMs} ms`)
		}
		this.currentCall = { call, timer: setTimeout(onTimeout, call.tryTimeoutMs * CALL_TIMEOUT_FACTOR) }
		runtime.call(call.id, call.hook, call.args, call.tryTimeoutMs)
	}

	/** Schedules a restart; the delay grows with each restart since the latest valid answer. */
	restartLater(): void {
		if (this.state === 'over') return
		this.state = 'resting'
		this.restarts++
		const doublings = Math.min(MAX_DOUBLINGS, this.restartsSinceAnswer)
		const delayMs = this.restartsSinceAnswer === 0 ? 0 : RESTART_DELAY_MS.base * 2 ** doublings
		this.restartsSinceAnswer++
		this.restartTimer = setTimeout(() => this.start(), Math.min(RESTART_DELAY_MS.max, delayMs))
	}

	/** Permanently ends the instance. A call in flight fails with this reason. */
	end(why: string): void {
		if (this.state === 'over') return
		this.state = 'over'
		this.dropRuntime()
		if (this.restartTimer !== null) clearTimeout(this.restartTimer)
		this.endCall({ kind: 'failure', why })
	}

	/** Returns the listener for the next runtime; it ignores reports once that runtime is dropped. */
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

	/** Ends the call in flight. A duplicate or late answer has the id of no call in flight and is ignored. */
	private callReturned(id: number, outcomeOf: (hook: Hook) => CallOutcome): void {
		const call = this.currentCall?.call
		if (call?.id !== id) return
		const outcome = outcomeOf(call.hook)
		if (outcome.kind === 'answer') this.restartsSinceAnswer = 0
		this.endCall(outcome)
		this.listener.onAvailable(this)
	}

	private endCall(outcome: CallOutcome): void {
		if (this.currentCall === null) return
		const { call, timer } = this.currentCall
		clearTimeout(timer)
		this.currentCall = null
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

	/** Ends the runtime and ignores its further reports. */
	private dropRuntime(): void {
		const { runtime } = this
		this.runtimeNumber++
		this.runtime = null
		runtime?.end()
	}
}
