import type { PluginSettings, PluginsSettings } from '@heathroad/config'
import type { AdmissionChecks, CheckContext, CheckTerms, Verdict } from '@heathroad/controller'
import { type Admission, API, type Facts, type Job, type Release } from '@heathroad/plugin-api'
import type { Scan } from './directory.js'
import type { Result } from './generation.js'
import type { Seating } from './seat.js'
import { Slot, type Tell } from './slot.js'

/** What the host needs of the world. */
export interface HostPorts {
	now(): number
	scan(dir: string): Promise<Scan>
	seating: Seating
	log: Tell
	/** the team's guarantee and limit */
	team(name: string): Facts['team']
	/** the team's accepted jobs that are not over, the oldest first */
	teamJobs(name: string): readonly string[]
}

/** One plug-in, for operators. */
export interface PluginInfo {
	name: string
	version: string | null
	condition: string
	queued: number
	asked: number
	answered: number
	unsure: number
	upgrades: number
	rollbacks: number
}

/** A release may wait for its turn as long as so many calls may take. */
const TURNS = 20

/** The operators' plug-ins: what lies in their directory, in force as far as their sections say. */
export class PluginHost implements AdmissionChecks {
	private readonly slots = new Map<string, Slot>()
	private timer: ReturnType<typeof setTimeout> | null = null
	private stopped = false
	/** what was told of the directory already */
	private told = new Set<string>()
	private missing = new Set<string>()

	constructor(
		private settings: PluginsSettings,
		private readonly ports: HostPorts,
	) {
		this.fit()
	}

	/** Looks at the directory now, then again and again. */
	async start(): Promise<void> {
		await this.look()
		const again = () => {
			const next = () => {
				if (!this.stopped) again()
			}
			const failed = (e: unknown) =>
				this.ports.log('error', 'plug-in directory unreadable', { why: String(e) })
			this.timer = setTimeout(() => void this.look().catch(failed).then(next), this.settings.lookS * 1000)
		}
		again()
	}

	stop(): void {
		this.stopped = true
		if (this.timer !== null) clearTimeout(this.timer)
		for (const slot of this.slots.values()) slot.end()
	}

	/** Other settings: sections that are new or gone, and plug-ins whose rights changed begin anew. */
	configure(settings: PluginsSettings): void {
		this.settings = settings
		this.fit()
	}

	private fit(): void {
		const { plugins } = this.settings
		for (const [name, slot] of this.slots)
			if (plugins[name] === undefined) {
				slot.end()
				this.slots.delete(name)
			}
		for (const [name, p] of Object.entries(plugins)) {
			const terms = {
				rights: { node: p.permissions.includes('node'), memoryMb: p.memoryMb },
				classes: p.classes,
				teams: p.teams,
			}
			const known = this.slots.get(name)
			if (known !== undefined && JSON.stringify(known.terms) === JSON.stringify(terms)) continue
			known?.end()
			this.slots.set(name, new Slot(name, terms, this.ports.seating, this.ports.now, this.ports.log))
		}
	}

	/** Reads the directory; `again`: versions that failed are tried once more. Returns what does not fit, a line each. */
	async look(again = false): Promise<string[]> {
		const { found, problems } = await this.ports.scan(this.settings.dir)
		const lines = problems.map((p) => `${p.file}: ${p.field === null ? '' : `${p.field}: `}${p.why}`)
		const broken = new Set(problems.map((p) => p.name))
		const missing = new Set<string>()
		for (const [name, slot] of this.slots) {
			const plugin = found.find((f) => f.manifest.name === name)
			if (plugin !== undefined) {
				const lacks = plugin.manifest.needs?.find((n) => !this.settings.plugins[name].permissions.includes(n))
				if (lacks === undefined) slot.offer(plugin, again)
				else lines.push(`${plugin.folder}: needs: ${lacks} is not granted by [plugin.${name}]`)
				continue
			}
			// One that is being replaced may be missing for a moment, and one that cannot be read stays as it was.
			if (broken.has(name) || problems.some((p) => p.name === null)) continue
			missing.add(name)
			if (this.missing.has(name) || again) slot.offer(null)
			if (slot.version === null) lines.push(`${this.settings.dir}: no plug-in ${name}, which has a section`)
		}
		this.missing = missing
		for (const line of lines)
			if (!this.told.has(line)) this.ports.log('error', 'plug-in invalid', { what: line })
		this.told = new Set(lines)
		return lines
	}

	list(): PluginInfo[] {
		return [...this.slots.values()].map((s) => ({
			name: s.name,
			version: s.version,
			condition: s.condition,
			queued: s.queued,
			...s.counts,
		}))
	}

	/** False: there is none of that name. */
	disable(name: string, off = true): boolean {
		const slot = this.slots.get(name)
		slot?.disable(off)
		return slot !== undefined
	}

	// ---- what controllers ask ----

	required(job: Job): string[] {
		const out: string[] = []
		for (const [name, slot] of this.slots) if (slot.concerns('release', job)) out.push(name)
		return out
	}

	private settled(name: string): PluginSettings {
		return this.settings.plugins[name]
	}

	terms(name: string): CheckTerms | null {
		const p = this.settled(name)
		if (p === undefined) return null
		const grouped = this.slots.get(name)?.grouped ?? false
		return { atMostMs: p.holdAtMostS * 1000, whenUnsure: p.whenUnsure, grouped }
	}

	/**
	 * Every plug-in that has a say must let the job pass; what cannot answer in time is no reason to refuse. Those that
	 * release single jobs are asked for that at once: most say yes, and a mark for each such job would cost a change of
	 * the state and the time until its turn.
	 */
	admit(job: Job, done: (refusal: string | null, released: readonly string[]) => void): void {
		const all = [...this.slots.values()]
		const asked = all.filter((s) => s.concerns('admit', job))
		const first = all.filter((s) => s.concerns('release', job) && !s.grouped)
		const released: string[] = []
		let left = asked.length + first.length
		if (left === 0) return done(null, [])
		const heard = (refusal: string | null) => {
			if (left === 0) return
			left = refusal === null ? left - 1 : 0
			if (left === 0) done(refusal, released)
		}
		const about = (slot: Slot) => {
			const { admitMs } = this.settled(slot.name)
			return { subject: job.uid, ms: admitMs / 2, untilMs: admitMs }
		}
		for (const slot of asked)
			slot.ask('admit', [job], about(slot), (r) => {
				if (r.kind === 'answer') {
					const answer = r.value as Admission
					return heard('refuse' in answer ? `${slot.name}: ${answer.refuse}` : null)
				}
				this.ports.log('info', 'admission check skipped', { uid: job.uid, plugin: slot.name, why: r.why })
				heard(null)
			})
		for (const slot of first) {
			const leftS = this.settled(slot.name).holdAtMostS
			const facts = this.facts(slot, job, { waitedS: 0, leftS, asked: 0, waiting: 1 })
			slot.ask('release', [job, facts], about(slot), (r) => {
				if (r.kind === 'answer' && 'release' in (r.value as Release)) released.push(slot.name)
				heard(null)
			})
		}
	}

	private facts(slot: Slot, job: Job, seen: CheckContext): Facts {
		return {
			api: API,
			...seen,
			team: this.ports.team(job.team),
			...(slot.needsTeamJobs ? { teamJobs: this.ports.teamJobs(job.team).slice(0, 500) } : {}),
		}
	}

	ask(name: string, job: Job, seen: CheckContext, done: (verdict: Verdict) => void): void {
		const slot = this.slots.get(name)
		if (slot === undefined) return done({ kind: 'unsure', why: 'no section', againMs: 1000 })
		const p = this.settled(name)
		const facts = this.facts(slot, job, seen)
		const about = { subject: job.uid, ms: p.callMs, untilMs: p.callMs * TURNS }
		slot.ask('release', [job, facts], about, (r: Result) => {
			if (r.kind === 'unsure') return done(r)
			const answer = r.value as Release
			if ('release' in answer) return done({ kind: 'release' })
			done({ kind: 'hold', why: answer.hold, againMs: answer.againS! * 1000 })
		})
	}
}
