import { type Hook, Nonsense, readAdmission, readRelease } from '@heathroad/plugin-api'
import { Blame } from './blame.js'
import { Breaker } from './breaker.js'
import type { Loaded } from './directory.js'
import type { Hearing, Rights, Seat, Seating } from './seat.js'

export interface Call {
	id: number
	hook: Hook
	args: readonly unknown[]
	/** what the call is about, to tell a job at fault from a plug-in at fault */
	subject: string
	/** given up then, steady time in ms */
	until: number
	/** how long one try may take, in ms */
	ms: number
	done: (result: Result) => void
}

export type Result =
	| { kind: 'answer'; value: unknown }
	/** no answer that could be acted on; another try makes sense after `againMs` */
	| { kind: 'unsure'; why: string; againMs: number }

const RESTART = { first: 100, most: 60_000 } as const
/** The breaker's message and the host's own timers come later than the call's: what hangs there is cut here. */
const GRACE = 1.5

export interface GenerationEvents {
	ready(g: Generation): void
	/** the call came to an end here: an answer that can be acted on, or why not */
	settled(g: Generation, call: Call, answer: unknown | Nonsense): void
	/** it never became ready, and will be tried again only if it is told to */
	unfit(g: Generation, why: string): void
	/** it may take a call again */
	free(g: Generation): void
}

/** One version of a plug-in, loaded: its seat, the call under way, and what it is known to be worth. */
export class Generation {
	readonly breaker = new Breaker()
	readonly blame = new Blame()
	private seat: Seat | null = null
	private state: 'starting' | 'ready' | 'resting' | 'over' = 'starting'
	private call: { call: Call; timer: ReturnType<typeof setTimeout> } | null = null
	private again: ReturnType<typeof setTimeout> | null = null
	/** ends since the last answer */
	private ends = 0
	private wasReady = false
	/** what is heard of an earlier seat counts for nothing */
	private life = 0
	restarts = 0

	constructor(
		readonly plugin: Loaded,
		private readonly rights: Rights,
		private readonly seating: Seating,
		private readonly events: GenerationEvents,
		private readonly now: () => number,
	) {}

	get version(): string {
		return this.plugin.manifest.version
	}

	/** Loads it, and loads it again whenever its seat ends. */
	start(): void {
		this.again = null
		this.state = 'starting'
		const life = ++this.life
		const mine = (then: () => void) => () => {
			if (life === this.life && this.state !== 'over') then()
		}
		const hear: Hearing = {
			ready: mine(() => {
				this.state = 'ready'
				this.wasReady = true
				this.events.ready(this)
				this.events.free(this)
			}),
			answer: (id, value) => mine(() => this.answered(id, value))(),
			failed: (id, why) => mine(() => this.answered(id, new Nonsense(why)))(),
			ended: (why) => mine(() => this.gone(why))(),
		}
		try {
			this.seat = this.seating(this.plugin, this.rights, hear)
		} catch (e) {
			// No thread is to be had.
			hear.ended((e as Error).message)
		}
	}

	/** May a call be made now? */
	get free(): boolean {
		return this.state === 'ready' && this.call === null && this.breaker.state(this.now()) !== 'open'
	}

	get busy(): boolean {
		return this.call !== null
	}

	/** For operators. */
	get condition(): string {
		const breaker = this.breaker.state(this.now())
		return this.state === 'ready' && breaker !== 'closed' ? `ready, breaker ${breaker}` : this.state
	}

	send(call: Call): void {
		const late = () => {
			if (this.call?.call === call) this.gone(`no answer within ${call.ms} ms`)
		}
		this.call = { call, timer: setTimeout(late, call.ms * GRACE) }
		this.seat!.call(call.id, call.hook, call.args, call.ms)
	}

	/** A second answer, or one that comes after its call was given up, finds no call of its number. */
	private answered(id: number, value: unknown): void {
		const call = this.call?.call
		if (call?.id !== id) return
		const read =
			value instanceof Nonsense ? value : call.hook === 'admit' ? readAdmission(value) : readRelease(value)
		if (!(read instanceof Nonsense)) this.ends = 0
		this.settle(read)
		this.events.free(this)
	}

	private settle(answer: unknown | Nonsense): void {
		if (this.call === null) return
		const { call, timer } = this.call
		clearTimeout(timer)
		this.call = null
		this.events.settled(this, call, answer)
	}

	private gone(why: string): void {
		this.leave()
		if (!this.wasReady) {
			this.state = 'resting'
			this.events.unfit(this, why)
		} else this.rest()
		this.settle(new Nonsense(why))
	}

	/** From here on nothing counts that is heard from there. */
	private leave(): void {
		const { seat } = this
		this.life++
		this.seat = null
		seat?.end()
	}

	/** The next start waits, the longer the oftener it ended without an answer in between. */
	rest(): void {
		if (this.state === 'over') return
		this.state = 'resting'
		this.restarts++
		const pause = this.ends === 0 ? 0 : RESTART.first * 2 ** Math.min(16, this.ends)
		this.ends++
		this.again = setTimeout(() => this.start(), Math.min(RESTART.most, pause))
	}

	/** For good. A call under way is told that it got no answer. */
	end(why: string): void {
		if (this.state === 'over') return
		this.state = 'over'
		this.leave()
		if (this.again !== null) clearTimeout(this.again)
		this.settle(new Nonsense(why))
	}
}
