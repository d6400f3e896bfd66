/** The plug-in host of one controller: scans the plug-in directory and runs admission checks with the plug-ins. */
import type { PluginSettings, PluginsSettings } from '@heathroad/config'
import type { AdmissionChecks, CheckContext, CheckSettings, Verdict } from '@heathroad/controller'
import { type Admission, API, type Facts, type Job, type Release } from '@heathroad/plugin-api'
import { PendingAdmission } from './pending-admission.js'
import type { CallOptions } from './plugin-call.js'
import type { LoadedPlugin, Scan } from './plugin-directory.js'
import { PluginSlot, type SlotSettings } from './plugin-slot.js'
import type { RuntimeFactory } from './runtime.js'
import type { Log } from './version-rollout.js'

/** Timeout of a release call including its time in the queue, as a multiple of the timeout of one call. */
const RELEASE_TIMEOUT_CALLS = 20
/** Maximum number of ids of a team's jobs that a plug-in receives. */
const MAX_TEAM_JOBS = 500
/** Retry delay of a check whose plug-in has no section in the settings, in ms. */
const NO_SECTION_RETRY_MS = 1000

/** Functions of the controller that the plug-in host uses. */
export interface HostDependencies {
	/** monotonic time in ms */
	now(): number
	/** reads the plug-in directory */
	scan(dir: string): Promise<Scan>
	/** starts a version of a plug-in */
	startRuntime: RuntimeFactory
	log: Log
	/** returns the team's guarantee and limit */
	team(name: string): Facts['team']
	/** returns the ids of the team's accepted jobs that are not terminal, oldest first */
	teamJobs(name: string): readonly string[]
}

/** State of one plug-in, shown to operators and in metrics. */
export interface PluginInfo {
	name: string
	/** the active version; null if there is none */
	version: string | null
	condition: string
	/** number of pending calls */
	queued: number
	/** numbers of calls since the start: all, with a valid answer (`answered`), and without (`unsure`) */
	asked: number
	answered: number
	unsure: number
	/** numbers of version changes since the start */
	upgrades: number
	rollbacks: number
}

const slotSettings = (plugin: PluginSettings): SlotSettings => ({
	permissions: { node: plugin.permissions.includes('node'), memoryMb: plugin.memoryMb },
	classes: plugin.classes,
	teams: plugin.teams,
})

/** Runs the plug-ins that have a section in the settings, and runs admission checks with them. */
export class PluginHost implements AdmissionChecks {
	private readonly slots = new Map<string, PluginSlot>()
	private scanTimer: ReturnType<typeof setTimeout> | null = null
	private isStopped = false
	/** problems of the latest scan, which are not logged again */
	private loggedProblems = new Set<string>()
	/** plug-ins that were not in the directory at the latest scan */
	private missingPlugins = new Set<string>()

	constructor(
		private settings: PluginsSettings,
		private readonly dependencies: HostDependencies,
	) {
		this.updateSlots()
	}

	/** Scans the directory now and from then on at the configured interval. */
	async start(): Promise<void> {
		await this.scanDirectory()
		this.scheduleScan()
	}

	private scheduleScan(): void {
		const next = () => {
			if (!this.isStopped) this.scheduleScan()
		}
		const failed = (error: unknown) =>
			this.dependencies.log('error', 'plug-in directory unreadable', { why: String(error) })
		this.scanTimer = setTimeout(
			() => void this.scanDirectory().catch(failed).then(next),
			this.settings.scanIntervalS * 1000,
		)
	}

	/** Ends all plug-ins. */
	stop(): void {
		this.isStopped = true
		if (this.scanTimer !== null) clearTimeout(this.scanTimer)
		for (const slot of this.slots.values()) slot.end()
	}

	/** Applies new settings; plug-ins whose permissions, classes or teams have changed are restarted. */
	configure(settings: PluginsSettings): void {
		this.settings = settings
		this.updateSlots()
	}

	private updateSlots(): void {
		const { plugins } = this.settings
		for (const [name, slot] of this.slots) {
			if (plugins[name] !== undefined) continue
			slot.end()
			this.slots.delete(name)
		}
		const { startRuntime, now, log } = this.dependencies
		for (const [name, plugin] of Object.entries(plugins)) {
			const settings = slotSettings(plugin)
			const existing = this.slots.get(name)
			if (existing !== undefined && JSON.stringify(existing.settings) === JSON.stringify(settings)) continue
			existing?.end()
			this.slots.set(name, new PluginSlot(name, settings, { startRuntime, now, log }))
		}
	}

	/** Applies a scan of the directory; returns one line per problem. `retryRejected`: rejected versions are retried. */
	async scanDirectory(retryRejected = false): Promise<string[]> {
		const { found, problems } = await this.dependencies.scan(this.settings.directory)
		const lines = problems.map(({ file, field, why }) =>
			field === null ? `${file}: ${why}` : `${file}: ${field}: ${why}`,
		)
		/** null stands for a folder whose plug-in's name is unknown */
		const invalidNames = new Set(problems.map((problem) => problem.name))
		const missing = new Set<string>()
		for (const [name, slot] of this.slots) {
			const plugin = found.find(({ manifest }) => manifest.name === name)
			if (plugin !== undefined) {
				const problem = this.applyPlugin(slot, plugin, retryRejected)
				if (problem !== null) lines.push(problem)
				continue
			}
			// A plug-in whose folder is invalid keeps its current version.
			if (invalidNames.has(name) || invalidNames.has(null)) continue
			missing.add(name)
			// A plug-in may be missing briefly while it is being replaced, so it is removed only after the second scan.
			if (this.missingPlugins.has(name) || retryRejected) slot.applyScan(null)
			if (slot.version === null)
				lines.push(`${this.settings.directory}: no plug-in ${name}, which has a section`)
		}
		this.missingPlugins = missing
		this.logNewProblems(lines)
		return lines
	}

	/** Passes a plug-in to its slot if all permissions that it needs are granted; otherwise returns the problem. */
	private applyPlugin(slot: PluginSlot, plugin: LoadedPlugin, retryRejected: boolean): string | null {
		const { permissions } = this.settings.plugins[slot.name]
		const notGranted = plugin.manifest.needs?.find((need) => !permissions.includes(need))
		if (notGranted !== undefined)
			return `${plugin.folder}: needs: ${notGranted} is not granted by [plugin.${slot.name}]`
		slot.applyScan(plugin, retryRejected)
		return null
	}

	private logNewProblems(lines: readonly string[]): void {
		for (const line of lines)
			if (!this.loggedProblems.has(line)) this.dependencies.log('error', 'plug-in invalid', { what: line })
		this.loggedProblems = new Set(lines)
	}

	/** Returns the state of all plug-ins that have a section in the settings. */
	list(): PluginInfo[] {
		return [...this.slots.values()].map((slot) => ({
			name: slot.name,
			version: slot.version,
			condition: slot.condition,
			queued: slot.queued,
			...slot.counts,
		}))
	}

	/** Disables or enables a plug-in; returns false if there is none of that name. */
	disable(name: string, disabled = true): boolean {
		const slot = this.slots.get(name)
		slot?.setDisabled(disabled)
		return slot !== undefined
	}

	// ---- admission checks ----

	required(job: Job): string[] {
		return [...this.slots.values()].filter((slot) => slot.covers('release', job)).map((slot) => slot.name)
	}

	private settingsOf(name: string): PluginSettings {
		return this.settings.plugins[name]
	}

	checkSettings(name: string): CheckSettings | null {
		const settings = this.settingsOf(name)
		if (settings === undefined) return null
		const grouped = this.slots.get(name)?.isGrouped ?? false
		return { maxHoldMs: settings.maxHoldS * 1000, whenUnsure: settings.whenUnsure, grouped }
	}

	/**
	 * Calls every plug-in that covers the job. The job is refused if one of them refuses it; one that does not answer in
	 * time counts as passed. Plug-ins that release single jobs are also called for the release: most release at once, and
	 * a pending release for each such job would cost a transaction and a later call.
	 */
	admit(job: Job, done: (refusal: string | null, released: readonly string[]) => void): void {
		const slots = [...this.slots.values()]
		const admissionSlots = slots.filter((slot) => slot.covers('admit', job))
		const releaseSlots = slots.filter((slot) => slot.covers('release', job) && !slot.isGrouped)
		const answerCount = admissionSlots.length + releaseSlots.length
		if (answerCount === 0) {
			done(null, [])
			return
		}
		const pending = new PendingAdmission(answerCount, done)
		for (const slot of admissionSlots) this.requestAdmission(slot, job, pending)
		for (const slot of releaseSlots) this.requestEarlyRelease(slot, job, pending)
	}

	private requestAdmission(slot: PluginSlot, job: Job, pending: PendingAdmission): void {
		slot.callHook('admit', [job], this.admissionOptions(slot, job), (result) => {
			if (result.kind === 'answer') {
				const answer = result.value as Admission
				return pending.answered('refuse' in answer ? `${slot.name}: ${answer.refuse}` : null)
			}
			const { why } = result
			this.dependencies.log('info', 'admission check skipped', { uid: job.uid, plugin: slot.name, why })
			pending.answered(null)
		})
	}

	private requestEarlyRelease(slot: PluginSlot, job: Job, pending: PendingAdmission): void {
		const leftS = this.settingsOf(slot.name).maxHoldS
		const facts = this.facts(slot, job, { waitedS: 0, leftS, asked: 0, waiting: 1 })
		slot.callHook('release', [job, facts], this.admissionOptions(slot, job), (result) => {
			const isReleased = result.kind === 'answer' && 'release' in (result.value as Release)
			if (isReleased) pending.released.push(slot.name)
			pending.answered(null)
		})
	}

	/** The user waits for an admission, so one try may take half of the time, which leaves the rest for a retry. */
	private admissionOptions(slot: PluginSlot, job: Job): CallOptions {
		const { admissionTimeoutMs: admitMs } = this.settingsOf(slot.name)
		return { subject: job.uid, tryTimeoutMs: admitMs / 2, timeoutMs: admitMs }
	}

	private facts(slot: PluginSlot, job: Job, context: CheckContext): Facts {
		const facts = { api: API, ...context, team: this.dependencies.team(job.team) }
		if (!slot.needsTeamJobs) return facts
		return { ...facts, teamJobs: this.dependencies.teamJobs(job.team).slice(0, MAX_TEAM_JOBS) }
	}

	requestVerdict(name: string, job: Job, context: CheckContext, done: (verdict: Verdict) => void): void {
		const slot = this.slots.get(name)
		if (slot === undefined) {
			done({ kind: 'unsure', why: 'no section', againMs: NO_SECTION_RETRY_MS })
			return
		}
		const { callTimeoutMs: callMs } = this.settingsOf(name)
		const facts = this.facts(slot, job, context)
		const options = {
			subject: job.uid,
			tryTimeoutMs: callMs,
			timeoutMs: callMs * RELEASE_TIMEOUT_CALLS,
		}
		slot.callHook('release', [job, facts], options, (result) => {
			if (result.kind === 'unsure') return done(result)
			const answer = result.value as Release
			if ('release' in answer) return done({ kind: 'release' })
			done({ kind: 'hold', why: answer.hold, againMs: answer.againS! * 1000 })
		})
	}
}
