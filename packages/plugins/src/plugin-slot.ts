/** One plug-in by its name: its pending calls and the versions that answer them. */
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

/** Calls that may be pending; a further one is answered at once. */
const MAX_PENDING_CALLS = 2000
/** A call about a subject at fault makes sense again after this time, doubled with each failure, in ms. */
const FAULT_RETRY_MS = { base: 1000, max: 120_000 } as const
/** Keeps the doubled time a number that can be represented. */
const MAX_DOUBLINGS = 16
/** A call makes sense again after this time if the plug-in is disabled, in ms. */
const DISABLED_RETRY_MS = FAULT_RETRY_MS.max
/** A call makes sense again after this time if the plug-in is not there, in ms. */
const MISSING_RETRY_MS = 5000

/** The operator's settings for a plug-in. */
export interface SlotSettings {
	permissions: RuntimePermissions
	/** classes and teams of the jobs to be checked; null: as the manifest says */
	classes: readonly string[] | null
	teams: readonly string[] | null
}

/** What a slot needs of its host. */
export interface SlotContext {
	startRuntime: RuntimeFactory
	/** steady time in ms */
	now: () => number
	log: Log
}

/** Numbers of calls and of version changes since the start. */
export interface SlotCounts {
	asked: number
	answered: number
	unsure: number
	upgrades: number
	rollbacks: number
}

/**
 * A plug-in through all its versions. Calls are pending here and not at a version, so that an upgrade loses none: a call
 * under way ends at the version that took it, and a pending one goes to the version that is active at its turn.
 */
export class PluginSlot implements PluginInstanceListener {
	private readonly queue = new CallQueue()
	private readonly rollout: VersionRollout
	private readonly callCounts = { asked: 0, answered: 0, unsure: 0 }
	private latestCallId = 0
	private isDispatching = false
	private isDisabled = false
	/** when opened circuits become half open, one for each version whose circuit is open */
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

	/** Whether a hook of the plug-in covers a job. Without any version the operator's classes and teams decide. */
	covers(hook: Hook, job: { jobClass: string; team: string }): boolean {
		const { classes, teams } = this.settings
		if (classes !== null && !classes.includes(job.jobClass)) return false
		if (teams !== null && !teams.includes(job.team)) return false
		const { manifest } = this
		if (manifest === null) return hook === 'release' && (classes !== null || teams !== null)
		return manifest.hooks.includes(hook) && coversJob(manifest, job)
	}

	/** Whether one call answers for all pending jobs of a class and team. */
	get isGrouped(): boolean {
		return this.manifest?.ask === 'class'
	}

	/** Whether it needs the ids of the team's jobs. */
	get needsTeamJobs(): boolean {
		return this.manifest?.needs?.includes('team-jobs') ?? false
	}

	private get manifest(): Manifest | null {
		return (this.rollout.active ?? this.rollout.loading)?.plugin.manifest ?? null
	}

	// ---- for operators ----

	/** The active version; null: there is none. */
	get version(): string | null {
		return this.rollout.active?.version ?? null
	}

	/** Its condition, in words. */
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

	/** Takes over what the directory holds now; null: nothing of this name. `again`: rejected versions are retried. */
	offer(plugin: LoadedPlugin | null, again = false): void {
		if (again) this.rollout.forgetRejected()
		if (plugin === null) this.remove()
		else this.rollout.load(plugin)
	}

	/** Disables the plug-in, so that all calls are answered without it, or enables it again. */
	setDisabled(isDisabled: boolean): void {
		this.isDisabled = isDisabled
		const event = isDisabled ? 'plug-in disabled' : 'plug-in enabled'
		this.context.log('info', event, { plugin: this.name })
		this.dispatch()
	}

	/** Ends all versions and answers all pending calls. */
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

	/** Calls a hook; `done` is called once, with a valid answer or the reason why there is none. */
	ask(hook: Hook, args: readonly unknown[], options: CallOptions, done: (result: CallResult) => void): void {
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

	/** Answers a pending call without a version. One that is under way ends at its version. */
	private giveUp(call: PluginCall, why: string, againMs: number): void {
		if (!this.queue.remove(call)) return
		this.queue.settle(call, { kind: 'unsure', why, againMs })
	}

	private giveUpAll(why: string, againMs: number): void {
		for (const call of this.queue.list()) this.giveUp(call, why, againMs)
	}

	/** Sends pending calls for as long as the active version takes them. Calls of it from within itself do nothing. */
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

	/** Sends the next pending call; false: none was sent. */
	private dispatchNext(): boolean {
		const { active, loading } = this.rollout
		if (this.isDisabled) {
			this.giveUpAll('disabled', DISABLED_RETRY_MS)
			return false
		}
		if (active === null) {
			// While the first version is being loaded, calls may wait for it until their time is over.
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

	// ---- reports of the versions ----

	onAvailable(): void {
		this.dispatch()
	}

	onReady(instance: PluginInstance): void {
		// The restart of a version that was ready before changes nothing here.
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
			// A version that was replaced while the call was under way: its failure says nothing of the active one.
			this.rollout.endIfUnused(instance)
			this.retry(call)
			return
		}
		if (previous !== null && previous.faults.failureCount(call.subject) === 0) {
			// The version is on probation: the previous one answers this call and all that are pending.
			this.rollout.rollBack(previous, instance, why)
			this.retry(call)
			return
		}
		if (!isSubjectAtFault) this.recordFailure(instance, why)
		this.queue.settle(call, { kind: 'unsure', why, againMs: this.faultRetryMs(instance, call.subject) })
		this.dispatch()
	}

	/** Counts a failure of the plug-in itself, which may open its circuit. */
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
		// Without this, calls that are pending when the circuit becomes half open would wait for the next call.
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

	/** Calls again, at the active version; an answer to the earlier try is ignored from now on. */
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
