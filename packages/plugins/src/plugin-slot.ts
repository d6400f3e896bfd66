/** One plug-in, identified by its name: the queue of its calls, and its versions, which answer them. */
import { coversJob, type Hook, type Manifest } from '@heathroad/plugin-api'
import {
	type CallOptions,
	type CallOutcome,
	CallQueue,
	type CallResult,
	type PluginCall,
} from './plugin-call.js'
import type { LoadedPlugin } from './plugin-directory.js'
import type { PluginInstance, PluginInstanceListener } from './plugin-instance.js'
import type { RuntimeFactory, RuntimePermissions } from './runtime.js'
import { type Log, VersionRollout } from './version-rollout.js'

/** Maximum number of pending calls; beyond it, a call gets the result `unsure` at once. */
const MAX_PENDING_CALLS = 2000
/** Retry delay after a failed call in ms, doubled with each failure of the same subject. */
const FAULT_RETRY_MS = { base: 1000, max: 120_000 } as const
/** Keeps the doubled delay within the range of numbers. */
const MAX_DOUBLINGS = 16
/** Retry delay while the plug-in is disabled, in ms. */
const DISABLED_RETRY_MS = FAULT_RETRY_MS.max
/** Retry delay while the plug-in is missing, in ms. */
const MISSING_RETRY_MS = 5000

/** The operator's settings for a plug-in. */
export interface SlotSettings {
	permissions: RuntimePermissions
	/** classes and teams of the jobs to check; null: those of the manifest */
	classes: readonly string[] | null
	teams: readonly string[] | null
}

/** Functions of the plug-in host that a slot uses. */
export interface SlotContext {
	startRuntime: RuntimeFactory
	/** monotonic time in ms */
	now: () => number
	log: Log
}

/** Numbers of calls and version changes since the start. */
export interface SlotCounts {
	asked: number
	answered: number
	unsure: number
	upgrades: number
	rollbacks: number
}

/**
 * A plug-in with all its versions. Pending calls are queued here and not at a version, so that an upgrade loses none: a
 * call in flight ends at the version that took it, and a pending one goes to the version that is active at its turn.
 */
export class PluginSlot implements PluginInstanceListener {
	private readonly queue = new CallQueue()
	private readonly rollout: VersionRollout
	private readonly callCounts = { asked: 0, answered: 0, unsure: 0 }
	private latestCallId = 0
	private isDispatching = false
	private isDisabled = false
	/** timers that dispatch pending calls when an open circuit becomes half open, one per open circuit */
	private readonly halfOpenTimers = new Set<ReturnType<typeof setTimeout>>()

	constructor(
		readonly name: string,
		readonly settings: SlotSettings,
		private readonly context: SlotContext,
	) {
		const { startRuntime, now, log } = context
		const instanceContext = { permissions: settings.permissions, startRuntime, now }
		this.rollout = new VersionRollout(name, instanceContext, this, log)
	}

	// ---- what the plug-in covers ----

	/** Returns whether the plug-in checks a job with this hook. Without any version, the operator's settings decide. */
	covers(hook: Hook, job: { jobClass: string; team: string }): boolean {
		const { classes, teams } = this.settings
		if (classes !== null && !classes.includes(job.jobClass)) return false
		if (teams !== null && !teams.includes(job.team)) return false
		const { manifest } = this
		if (manifest === null) return hook === 'release' && (classes !== null || teams !== null)
		return manifest.hooks.includes(hook) && coversJob(manifest, job)
	}

	/** Whether the answer to one call applies to all pending jobs of a class and team. */
	get isGrouped(): boolean {
		return this.manifest?.ask === 'class'
	}

	/** Whether the plug-in needs the ids of the team's jobs. */
	get needsTeamJobs(): boolean {
		return this.manifest?.needs?.includes('team-jobs') ?? false
	}

	private get manifest(): Manifest | null {
		return (this.rollout.active ?? this.rollout.loading)?.plugin.manifest ?? null
	}

	// ---- for operators ----

	/** The active version; null if there is none. */
	get version(): string | null {
		return this.rollout.active?.version ?? null
	}

	/** The condition of the plug-in, as text for operators. */
	get condition(): string {
		const { active, loading, previous } = this.rollout
		if (this.isDisabled) return 'disabled'
		if (active === null) return loading === null ? 'missing' : loading.condition
		const probation = previous === null ? '' : `, on probation after ${previous.version}`
		const upgrade = loading === null ? '' : `, ${loading.version} is being loaded`
		return active.condition + probation + upgrade
	}

	/** Number of pending calls. */
	get queued(): number {
		return this.queue.length
	}

	get counts(): SlotCounts {
		const { upgrades, rollbacks } = this.rollout
		return { ...this.callCounts, upgrades, rollbacks }
	}

	// ---- versions ----

	/** Applies a scan, which found this plug-in or none (null). `retryRejected`: rejected versions are loaded again. */
	applyScan(plugin: LoadedPlugin | null, retryRejected = false): void {
		if (retryRejected) this.rollout.forgetRejected()
		if (plugin === null) this.remove()
		else this.rollout.load(plugin)
	}

	/** Disables or enables the plug-in. While it is disabled, all calls get the result `unsure`. */
	setDisabled(isDisabled: boolean): void {
		this.isDisabled = isDisabled
		const event = isDisabled ? 'plug-in disabled' : 'plug-in enabled'
		this.context.log('info', event, { plugin: this.name })
		this.dispatch()
	}

	/** Ends all versions; pending calls get the result `unsure`. */
	end(): void {
		for (const timer of this.halfOpenTimers) clearTimeout(timer)
		this.halfOpenTimers.clear()
		this.rollout.shutDown('the controller ends')
		this.dispatch()
	}

	private remove(): void {
		if (this.rollout.active === null && this.rollout.loading === null) return
		this.context.log('error', 'plug-in removed', { plugin: this.name, version: this.version })
		this.rollout.remove('gone from the directory')
		this.dispatch()
	}

	// ---- calls ----

	/** Calls a hook; `done` is called once, with a valid answer or the reason for its absence. */
	callHook(
		hook: Hook,
		args: readonly unknown[],
		options: CallOptions,
		done: (result: CallResult) => void,
	): void {
		const { subject, tryTimeoutMs, timeoutMs } = options
		this.callCounts.asked++
		const finish = (result: CallResult) => {
			if (result.kind === 'answer') this.callCounts.answered++
			else this.callCounts.unsure++
			done(result)
		}
		if (this.queued >= MAX_PENDING_CALLS) {
			finish({ kind: 'unsure', why: 'too many questions wait', againMs: tryTimeoutMs })
			return
		}
		const call: PluginCall = {
			id: this.nextCallId(),
			hook,
			args,
			subject,
			tryTimeoutMs,
			deadline: this.context.now() + timeoutMs,
			done: finish,
		}
		this.queue.append(call, timeoutMs, () =>
			this.giveUp(call, 'its turn did not come in time', call.tryTimeoutMs),
		)
		this.dispatch()
	}

	private nextCallId(): number {
		this.latestCallId++
		return this.latestCallId
	}

	/** Settles a pending call as `unsure`. A call in flight is not affected. */
	private giveUp(call: PluginCall, why: string, againMs: number): void {
		if (!this.queue.remove(call)) return
		this.queue.settle(call, { kind: 'unsure', why, againMs })
	}

	private giveUpAll(why: string, againMs: number): void {
		for (const call of this.queue.list()) this.giveUp(call, why, againMs)
	}

	/** Sends pending calls while the active version accepts them. Reentrant calls of this method do nothing. */
	private dispatch(): void {
		if (this.isDispatching) return
		this.isDispatching = true
		try {
			let wasSent = true
			while (wasSent) wasSent = this.dispatchNext()
		} finally {
			this.isDispatching = false
		}
	}

	/** Sends the next pending call; returns false if none was sent. */
	private dispatchNext(): boolean {
		const { active, loading } = this.rollout
		if (this.isDisabled) {
			this.giveUpAll('disabled', DISABLED_RETRY_MS)
			return false
		}
		if (active === null) {
			// While the first version is being loaded, calls stay in the queue until they time out.
			if (loading === null) this.giveUpAll('missing', MISSING_RETRY_MS)
			return false
		}
		const openMs = active.breaker.remainingOpenMs(this.context.now())
		if (openMs > 0) {
			this.giveUpAll('it fails too often', openMs)
			return false
		}
		if (!active.isAvailable) return false
		const call = this.queue.take()
		if (call === undefined) return false
		active.send(call)
		return true
	}

	// ---- events of the versions ----

	onAvailable(): void {
		this.dispatch()
	}

	onReady(instance: PluginInstance): void {
		// Otherwise a version was restarted that had been ready before.
		if (instance !== this.rollout.loading) return
		this.rollout.activate(instance)
		this.dispatch()
	}

	onLoadFailed(instance: PluginInstance, why: string): void {
		this.rollout.loadFailed(instance, why)
	}

	onCallEnded(instance: PluginInstance, call: PluginCall, outcome: CallOutcome): void {
		if (outcome.kind === 'failure') {
			this.callFailed(instance, call, outcome.why)
			return
		}
		instance.breaker.recordSuccess()
		instance.faults.recordSuccess(call.subject)
		this.rollout.recordAnswer(instance)
		this.queue.settle(call, outcome)
		this.rollout.endIfUnused(instance)
		this.dispatch()
	}

	private callFailed(instance: PluginInstance, call: PluginCall, why: string): void {
		const isSubjectAtFault = instance.faults.isSubjectAtFault(call.subject)
		instance.faults.recordFailure(call.subject)
		this.context.log('info', 'plug-in call failed', {
			plugin: this.name,
			version: instance.version,
			hook: call.hook,
			subject: call.subject,
			why,
		})
		const { active, previous } = this.rollout
		if (instance !== active) {
			// The version was replaced during the call, so its failure does not count against the active version.
			this.rollout.endIfUnused(instance)
			this.retry(call)
			return
		}
		if (previous !== null && previous.faults.failureCount(call.subject) === 0) {
			// The version is on probation: roll back, and let the previous version answer this call and all pending ones.
			this.rollout.rollBack(previous, instance, why)
			this.retry(call)
			return
		}
		if (!isSubjectAtFault) this.recordFailure(instance, why)
		this.queue.settle(call, { kind: 'unsure', why, againMs: this.faultRetryMs(instance, call.subject) })
		this.dispatch()
	}

	/** Records a failure of the plug-in itself, which may open its circuit. */
	private recordFailure(instance: PluginInstance, why: string): void {
		const now = this.context.now()
		if (!instance.breaker.recordFailure(now)) return
		const ms = instance.breaker.remainingOpenMs(now)
		this.context.log('error', 'plug-in circuit opened', {
			plugin: this.name,
			version: instance.version,
			why,
			ms,
		})
		// Without this timer, calls pending when the circuit becomes half open would stay queued until the next call.
		const timer = setTimeout(() => {
			this.halfOpenTimers.delete(timer)
			this.dispatch()
		}, ms + 1)
		this.halfOpenTimers.add(timer)
	}

	private faultRetryMs(instance: PluginInstance, subject: string): number {
		const doublings = Math.min(MAX_DOUBLINGS, instance.faults.failureCount(subject) - 1)
		return Math.min(FAULT_RETRY_MS.max, FAULT_RETRY_MS.base * 2 ** doublings)
	}

	/** Retries a call at the active version; an answer to the earlier try is ignored from now on. */
	private retry(call: PluginCall): void {
		if (this.context.now() >= call.deadline) {
			this.queue.settle(call, { kind: 'unsure', why: 'no time is left', againMs: call.tryTimeoutMs })
			return
		}
		call.id = this.nextCallId()
		this.queue.prepend(call)
		this.dispatch()
	}
}
