import type { LogEvent } from '@heathroad/logging'
import { concerns, type Hook, Nonsense } from '@heathroad/plugin-api'
import type { Loaded } from './directory.js'
import { type Call, Generation, type Result } from './generation.js'
import type { Rights, Seating } from './seat.js'

/** Calls that wait at most; one more is answered at once. */
const MOST_WAITING = 2000
/** A new version must answer so many calls before the old one is let go. */
const PROBATION = 3
/** A subject at fault is tried again after so long, doubled with each failure. */
const FAULTY_MS = { first: 1000, most: 120_000 } as const

export interface SlotTerms {
	rights: Rights
	/** classes and teams that the operator names; null: as the manifest says */
	classes: readonly string[] | null
	teams: readonly string[] | null
}

export type Tell = (level: 'info' | 'error', event: LogEvent, fields: Record<string, unknown>) => void

/**
 * One plug-in by its name, through all its versions. Calls wait here and not at a version, so that an upgrade loses none:
 * those under way end where they began, those that wait go to whoever is in force when their turn comes. A new version
 * is loaded beside the old one and takes over once it is ready; until it has answered a few calls the old one stays,
 * and a failure puts it back.
 */
export class Slot {
	private live: Generation | null = null
	/** loaded and not ready yet */
	private next: Generation | null = null
	/** the version before, while the live one is on probation */
	private before: Generation | null = null
	private probation = 0
	/** digests that failed; tried again when told to */
	private readonly rejected = new Set<string>()
	private readonly waiting: { admit: Call[]; release: Call[] } = { admit: [], release: [] }
	private readonly timers = new Map<Call, ReturnType<typeof setTimeout>>()
	private calls = 0
	private pumping = false
	disabled = false
	readonly counts = { asked: 0, answered: 0, unsure: 0, upgrades: 0, rollbacks: 0 }

	constructor(
		readonly name: string,
		readonly terms: SlotTerms,
		private readonly seating: Seating,
		private readonly now: () => number,
		private readonly tell: Tell,
	) {}

	/** Is this plug-in to be asked about such jobs by that hook? Without any version, as the operator's classes say. */
	concerns(hook: Hook, job: { jobClass: string; team: string }): boolean {
		const { classes, teams } = this.terms
		if (classes !== null && !classes.includes(job.jobClass)) return false
		if (teams !== null && !teams.includes(job.team)) return false
		const manifest = this.manifest
		if (manifest === null) return hook === 'release' && (classes !== null || teams !== null)
		return manifest.hooks.includes(hook) && concerns(manifest, job)
	}

	private get manifest() {
		return (this.live ?? this.next)?.plugin.manifest ?? null
	}

	/** One question for all that wait of a class and team? */
	get grouped(): boolean {
		return this.manifest?.ask === 'class'
	}

	get needsTeamJobs(): boolean {
		return this.manifest?.needs?.includes('team-jobs') ?? false
	}

	/** The version in force, null while there is none. */
	get version(): string | null {
		return this.live?.version ?? null
	}

	get condition(): string {
		if (this.disabled) return 'disabled'
		if (this.live === null) return this.next === null ? 'missing' : this.next.condition
		const trial = this.before === null ? '' : `, on probation after ${this.before.version}`
		const coming = this.next === null ? '' : `, ${this.next.version} is being loaded`
		return this.live.condition + trial + coming
	}

	get queued(): number {
		return this.waiting.admit.length + this.waiting.release.length
	}

	/** What lies in the directory now; null: nothing of this name. `again`: versions that failed are tried once more. */
	offer(plugin: Loaded | null, again = false): void {
		if (again) this.rejected.clear()
		if (plugin === null) return this.remove()
		const { digest, version } = plugin.manifest
		const same = (g: Generation | null) =>
			g?.plugin.manifest.digest === digest &&
			JSON.stringify(g.plugin.manifest) === JSON.stringify(plugin.manifest)
		if (same(this.next) || (this.next === null && same(this.live)) || this.rejected.has(digest)) return
		this.next?.end('replaced by a newer version')
		this.tell('info', 'plug-in loading', { plugin: this.name, version, digest })
		this.next = new Generation(plugin, this.terms.rights, this.seating, this, this.now)
		this.next.start()
	}

	private remove(): void {
		if (this.live === null && this.next === null) return
		this.tell('error', 'plug-in removed', { plugin: this.name, version: this.version })
		const all = [this.live, this.next, this.before]
		this.live = this.next = this.before = null
		for (const g of all) g?.end('gone from the directory')
		this.pump()
	}

	disable(off: boolean): void {
		this.disabled = off
		this.tell('info', off ? 'plug-in disabled' : 'plug-in enabled', { plugin: this.name })
		this.pump()
	}

	end(): void {
		for (const g of [this.live, this.next, this.before]) g?.end('the controller ends')
		this.live = this.next = this.before = null
		this.pump()
	}

	// ---- calls ----

	/** `untilMs`: how long it may wait and take in all; `ms`: how long one try may take. */
	ask(
		hook: Hook,
		args: readonly unknown[],
		about: { subject: string; untilMs: number; ms: number },
		done: (result: Result) => void,
	): void {
		this.counts.asked++
		const finish = (result: Result) => {
			if (result.kind === 'answer') this.counts.answered++
			else this.counts.unsure++
			done(result)
		}
		if (this.queued >= MOST_WAITING)
			return finish({ kind: 'unsure', why: 'too many questions wait', againMs: about.ms })
		const call: Call = {
			id: ++this.calls,
			hook,
			args,
			subject: about.subject,
			ms: about.ms,
			until: this.now() + about.untilMs,
			done: finish,
		}
		this.waiting[hook].push(call)
		this.timers.set(
			call,
			setTimeout(() => this.giveUp(call, 'its turn did not come in time'), about.untilMs),
		)
		this.pump()
	}

	private giveUp(call: Call, why: string, againMs = call.ms): void {
		const queue = this.waiting[call.hook]
		const at = queue.indexOf(call)
		// Under way: the generation gives it up, or it is answered.
		if (at < 0) return
		queue.splice(at, 1)
		this.settle(call, { kind: 'unsure', why, againMs })
	}

	private settle(call: Call, result: Result): void {
		clearTimeout(this.timers.get(call))
		this.timers.delete(call)
		call.done(result)
	}

	private giveUpAll(why: string, againMs: number): void {
		for (const call of [...this.waiting.admit, ...this.waiting.release]) this.giveUp(call, why, againMs)
	}

	/** Users wait for an admission, nobody for a release. */
	private pump(): void {
		if (this.pumping) return
		this.pumping = true
		try {
			for (;;) {
				if (this.disabled) return this.giveUpAll('disabled', FAULTY_MS.most)
				if (this.live === null) {
					// Not yet loaded for the first time: its questions may wait for that, until their time is over.
					if (this.next === null) this.giveUpAll('missing', FAULTY_MS.first * 5)
					return
				}
				const openMs = this.live.breaker.leftMs(this.now())
				if (openMs > 0) return this.giveUpAll('it fails too often', openMs)
				if (!this.live.free) return
				const call = this.waiting.admit.shift() ?? this.waiting.release.shift()
				if (call === undefined) return
				this.live.send(call)
			}
		} finally {
			this.pumping = false
		}
	}

	// ---- what the versions tell ----

	free(): void {
		this.pump()
	}

	ready(g: Generation): void {
		if (g !== this.next) return
		this.next = null
		// A third version while the second is on probation: the first is the one that is known to work.
		const old = this.before ?? this.live
		const second = this.before === null ? null : this.live
		this.live = g
		this.before = old
		if (second !== null) this.retire(second)
		this.probation = PROBATION
		if (old !== null) this.counts.upgrades++
		this.tell('info', 'plug-in version active', {
			plugin: this.name,
			version: g.version,
			after: old?.version ?? null,
		})
		this.pump()
	}

	unfit(g: Generation, why: string): void {
		const { version, digest } = g.plugin.manifest
		if (g === this.next && this.live !== null) {
			this.next = null
			this.reject(g, `could not be loaded: ${why}`)
			return
		}
		this.tell('error', 'plug-in load failed', { plugin: this.name, version, digest, why })
		// Nothing to fall back on: it is tried again, as one that crashed would be.
		g.rest()
	}

	private reject(g: Generation, why: string): void {
		const { version, digest } = g.plugin.manifest
		this.rejected.add(digest)
		this.counts.rollbacks++
		this.tell('error', 'plug-in version rejected', {
			plugin: this.name,
			version,
			digest,
			why,
			in_force: this.version,
		})
		g.end(why)
	}

	settled(g: Generation, call: Call, answer: unknown | Nonsense): void {
		if (answer instanceof Nonsense) return this.failed(g, call, answer.why)
		g.breaker.succeeded()
		g.blame.succeeded(call.subject)
		if (g === this.live && this.before !== null && --this.probation <= 0) {
			this.tell('info', 'plug-in version kept', { plugin: this.name, version: g.version })
			const old = this.before
			this.before = null
			this.retire(old)
		}
		this.settle(call, { kind: 'answer', value: answer })
		this.over(g)
		this.pump()
	}

	/** A version that is not in force any more ends when the call under way has, which counts as any other. */
	private retire(g: Generation): void {
		if (!g.busy) g.end('replaced by a newer version')
	}

	private over(g: Generation): void {
		if (g !== this.live && g !== this.before && g !== this.next) g.end('replaced by a newer version')
	}

	private failed(g: Generation, call: Call, why: string): void {
		const now = this.now()
		const theirs = g.blame.own(call.subject)
		g.blame.failed(call.subject)
		this.tell('info', 'plug-in call failed', {
			plugin: this.name,
			version: g.version,
			hook: call.hook,
			subject: call.subject,
			why,
		})
		const old = this.before
		if (g === this.live && old !== null && old.blame.times(call.subject) === 0) {
			// Its first calls: the version before answers this one, and all that wait.
			this.live = old
			this.before = null
			this.reject(g, why)
			return this.retry(call)
		}
		// Its version was let go while it was under way; nothing speaks against the one in force.
		if (g !== this.live) {
			this.over(g)
			return this.retry(call)
		}
		if (!theirs && g.breaker.failed(now)) {
			const ms = g.breaker.leftMs(now)
			this.tell('error', 'plug-in circuit opened', { plugin: this.name, version: g.version, why, ms })
			// Somebody has to ask again when the pause is over, or what waits then would wait for the next question.
			setTimeout(() => this.pump(), ms + 1)
		}
		const faulty = FAULTY_MS.first * 2 ** Math.min(16, g.blame.times(call.subject) - 1)
		this.settle(call, { kind: 'unsure', why, againMs: Math.min(FAULTY_MS.most, faulty) })
		this.pump()
	}

	/** Asked again, of the version in force: no answer of the earlier try can count any more. */
	private retry(call: Call): void {
		if (this.now() >= call.until)
			return this.settle(call, { kind: 'unsure', why: 'no time is left', againMs: call.ms })
		call.id = ++this.calls
		this.waiting[call.hook].unshift(call)
		this.pump()
	}
}
