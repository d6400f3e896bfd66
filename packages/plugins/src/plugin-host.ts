/** The operators' plug-ins of one controller: the versions in their directory, and the checks of jobs by them. */
import type { PluginSettings, PluginsSettings } from '@heathroad/config'
import type { AdmissionChecks, CheckContext, CheckSettings, Verdict } from '@heathroad/controller'
import { type Admission, API, type Facts, type Job, type Release } from '@heathroad/plugin-api'
import { PendingAdmission } from './pending-admission.js'
import type { CallOptions } from './plugin-call.js'
import type { LoadedPlugin, Scan } from './plugin-directory.js'
import { PluginSlot, type SlotSettings } from './plugin-slot.js'
import type { RuntimeFactory } from './runtime.js'
import type { Log } from './version-rollout.js'

/** The call of a release may be pending for as long as this number of calls may take. */
const RELEASE_TIMEOUT_CALLS = 20
/** Ids of a team's jobs that a plug-in receives. */
const MAX_TEAM_JOBS = 500
/** A job is checked again after this time if its plug-in has no section in the settings, in ms. */
const NO_SECTION_RETRY_MS = 1000

/** What the host needs of its controller. */
export interface HostPorts {
	/** steady time in ms */
	now(): number
	/** reads the directory of plug-ins */
	scan(dir: string): Promise<Scan>
	/** starts a version of a plug-in */
	startRuntime: RuntimeFactory
	log: Log
	/** the team's guarantee and limit */
	team(name: string): Facts['team']
	/** ids of the team's accepted jobs that are not terminal, the oldest first */
	teamJobs(name: string): readonly string[]
}

/** One plug-in, for operators and metrics. */
export interface PluginInfo {
	name: string
	/** the active version; null: there is none */
	version: string | null
	condition: string
	/** pending calls */
	queued: number
	/** calls since the start: all, with a valid answer, and without */
	asked: number
	answered: number
	unsure: number
	/** version changes since the start */
	upgrades: number
	rollbacks: number
}

const slotSettings = (plugin: PluginSettings): SlotSettings => ({
	permissions: { node: plugin.permissions.includes('node'), memoryMb: plugin.memoryMb },
	classes: plugin.classes,
	teams: plugin.teams,
})

/** Runs the plug-ins that have a section in the settings and checks jobs with them. */
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
		private readonly ports: HostPorts,
	) {
		this.updateSlots()
	}

	/** Scans the directory now and then at the interval of the settings. */
	async start(): Promise<void> {
		await this.scanDirectory()
		this.scheduleScan()
	}

	private scheduleScan(): void {
		const next = () => {
			if (!this.isStopped) this.scheduleScan()
		}
		const failed = (error: unknown) =>
			this.ports.log('error', 'plug-in directory unreadable', { why: String(error) })
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

	/** Applies other settings: plug-ins with changed permissions, classes or teams are started anew. */
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
		const { startRuntime, now, log } = this.ports
		for (const [name, plugin] of Object.entries(plugins)) {
			const settings = slotSettings(plugin)
			const existing = this.slots.get(name)
			if (existing !== undefined && JSON.stringify(existing.settings) === JSON.stringify(settings)) continue
			existing?.end()
			this.slots.set(name, new PluginSlot(name, settings, { startRuntime, now, log }))
		}
	}

	/** Scans the directory; `again`: rejected versions are retried. Returns its problems, a line each. */
	async scanDirectory(again = false): Promise<string[]> {
		const { found, problems } = await this.ports.scan(this.settings.directory)
		const lines = problems.map(({ file, field, why }) =>
			field === null ? `${file}: ${why}` : `${file}: ${field}: ${why}`,
		)
		/** null: a folder whose plug-in is unknown */
		const invalidNames = new Set(problems.map((problem) => problem.name))
		const missing = new Set<string>()
		for (const [name, slot] of this.slots) {
			const plugin = found.find(({ manifest }) => manifest.name === name)
			if (plugin !== undefined) {
				const problem = this.offerPlugin(slot, plugin, again)
				if (problem !== null) lines.push(problem)
				continue
			}
			// An invalid plug-in keeps its version.
			if (invalidNames.has(name) || invalidNames.has(null)) continue
			missing.add(name)
			// A plug-in that is being replaced may be missing for a moment: it is removed after the second scan.
			if (this.missingPlugins.has(name) || again) slot.offer(null)
			if (slot.version === null)
				lines.push(`${this.settings.directory}: no plug-in ${name}, which has a section`)
		}
		this.missingPlugins = missing
		this.logNewProblems(lines)
		return lines
	}

	/** Offers a plug-in to its slot if it has the permissions that it needs; returns the problem otherwise. */
	private offerPlugin(slot: PluginSlot, plugin: LoadedPlugin, again: boolean): string | null {
		const { permissions } = this.settings.plugins[slot.name]
		const notGranted = plugin.manifest.needs?.find((need) => !permissions.includes(need))
		if (notGranted !== undefined)
			return `${plugin.folder}: needs: ${notGranted} is not granted by [plugin.${slot.name}]`
		slot.offer(plugin, again)
		return null
	}

	private logNewProblems(lines: readonly string[]): void {
		for (const line of lines)
			if (!this.loggedProblems.has(line)) this.ports.log('error', 'plug-in invalid', { what: line })
		this.loggedProblems = new Set(lines)
	}

	/** All plug-ins that have a section in the settings. */
	list(): PluginInfo[] {
		return [...this.slots.values()].map((slot) => ({
			name: slot.name,
			version: slot.version,
			condition: slot.condition,
			queued: slot.queued,
			...slot.counts,
		}))
	}

	/** Disables a plug-in, or enables it again; false: there is none of that name. */
	disable(name: string, off = true): boolean {
		const slot = this.slots.get(name)
		slot?.setDisabled(off)
		return slot !== undefined
	}

	// ---- checks of jobs ----

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
	 * Every plug-in that covers the job must let it pass; one that does not answer in time refuses nothing. Plug-ins that
	 * release single jobs are asked for the release at the same time: most release at once, and a pending release for each
	 * such job would cost a transaction and a later call.
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
		for (const slot of admissionSlots) this.askAdmission(slot, job, pending)
		for (const slot of releaseSlots) this.askEarlyRelease(slot, job, pending)
	}

	private askAdmission(slot: PluginSlot, job: Job, pending: PendingAdmission): void {
		slot.ask('admit', [job], this.admissionOptions(slot, job), (result) => {
			if (result.kind === 'answer') {
				const answer = result.value as Admission
				return pending.answered('refuse' in answer ? `${slot.name}: ${answer.refuse}` : null)
			}
			const { why } = result
			this.ports.log('info', 'admission check skipped', { uid: job.uid, plugin: slot.name, why })
			pending.answered(null)
		})
	}

	private askEarlyRelease(slot: PluginSlot, job: Job, pending: PendingAdmission): void {
		const leftS = this.settingsOf(slot.name).maxHoldS
		const facts = this.facts(slot, job, { waitedS: 0, leftS, asked: 0, waiting: 1 })
		slot.ask('release', [job, facts], this.admissionOptions(slot, job), (result) => {
			const isReleased = result.kind === 'answer' && 'release' in (result.value as Release)
			if (isReleased) pending.released.push(slot.name)
			pending.answered(null)
		})
	}

	/** The user waits for an admission; half of the time is left for a retry. */
	private admissionOptions(slot: PluginSlot, job: Job): CallOptions {
		const { admissionTimeoutMs: admitMs } = this.settingsOf(slot.name)
		return { subject: job.uid, tryTimeoutMs: admitMs / 2, timeoutMs: admitMs }
	}

	private facts(slot: PluginSlot, job: Job, context: CheckContext): Facts {
		const facts = { api: API, ...context, team: this.ports.team(job.team) }
		if (!slot.needsTeamJobs) return facts
		return { ...facts, teamJobs: this.ports.teamJobs(job.team).slice(0, MAX_TEAM_JOBS) }
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
		slot.ask('release', [job, facts], options, (result) => {
			if (result.kind === 'unsure') return done(result)
			const answer = result.value as Release
			if ('release' in answer) return done({ kind: 'release' })
			done({ kind: 'hold', why: answer.hold, againMs: answer.againS! * 1000 })
		})
	}
}
