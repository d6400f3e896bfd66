/** Real and virtual time for the simulation, with random numbers from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { EventQueue, type ScheduledEvent } from './event-queue.js'

type Callback = (...args: unknown[]) => void

/** What `Date.now` returns when virtual time begins. */
const EPOCH_MS = 1_700_000_000_000
/** Shortest delay of a timer, as in Node. */
const MIN_TIMER_MS = 1
/** Events of a frozen process are shuffled by up to so many places when it continues. */
const FREEZE_SHUFFLE = 64

/** Time and random numbers. */
export interface Clock {
	/** the present time in ms */
	readonly nowMs: number
	/**
	 * Schedules `run`; setting `gone` on the result cancels it. `owner`: the process that `run` belongs to, null for
	 * none; by default the process whose code runs now.
	 */
	after(ms: number, run: () => void, owner?: number | null): { gone: boolean }
	/** A random number from 0 to 1. */
	random(): number
	/** A random number between two limits. */
	between(from: number, to: number): number
}

/** Time as it passes; the random numbers follow from a seed all the same. */
export class RealClock implements Clock {
	private readonly generator
	private readonly timers = new Set<ReturnType<typeof setTimeout>>()
	private stopped = false

	constructor(seed = 1) {
		this.generator = xoroshiro128plus(seed)
	}

	get nowMs(): number {
		return performance.now()
	}

	after(ms: number, run: () => void): { gone: boolean } {
		const event = { gone: false }
		if (this.stopped) return event
		const timer = setTimeout(() => {
			this.timers.delete(timer)
			if (!event.gone) run()
		}, ms)
		this.timers.add(timer)
		return event
	}

	/** Cancels everything that is scheduled, now and from now on. */
	stop(): void {
		this.stopped = true
		for (const timer of this.timers) clearTimeout(timer)
	}

	random(): number {
		return uniformFloat64(this.generator)
	}

	between(from: number, to: number): number {
		return from + (to - from) * this.random()
	}
}

/**
 * Virtual time. While it runs, timers, clocks and random numbers of the whole process come from here, so that the
 * service under test needs no change and a seed always gives the same day.
 */
export class VirtualClock implements Clock {
	nowMs = 0
	private scheduled = 0
	private readonly queue = new EventQueue()
	private readonly generator
	private readonly realImmediate = setImmediate
	/** The real monotonic clock, in ms; `performance.now` is replaced while virtual time runs. */
	private readonly realNow = performance.now.bind(performance)
	/** Called after every event with its process, and the real time that the event and its promises took, in ms. */
	onEventRun: ((owner: number | null, realMs: number) => void) | null = null
	/** the process whose code runs; timers that it sets belong to it */
	private currentOwner: number | null = null
	/** when frozen processes continue; what is due until then happens at that time, all at once */
	private readonly frozenUntil = new Map<number, number>()

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed)
	}

	random(): number {
		return uniformFloat64(this.generator)
	}

	between(from: number, to: number): number {
		return from + (to - from) * this.random()
	}

	after(ms: number, run: () => void, owner = this.currentOwner): ScheduledEvent {
		const atMs = this.nowMs + Math.max(0, ms || 0)
		const event = { atMs, sequence: this.scheduled++, run, gone: false, owner }
		this.queue.push(event)
		return event
	}

	/** A process stands still while its clocks go on. */
	freeze(owner: number, ms: number): void {
		this.frozenUntil.set(owner, this.nowMs + ms)
	}

	/** Runs `day` with the process's timers and clocks replaced, then all events until `untilMs`. */
	async run(untilMs: number, day: () => void): Promise<void> {
		const restore = this.replaceGlobals()
		try {
			day()
			await this.runEvents(untilMs)
		} finally {
			restore()
		}
	}

	private async runEvents(untilMs: number): Promise<void> {
		for (let startedAt = this.realNow(); ; ) {
			// Promises settle between two events.
			await new Promise<void>((done) => this.realImmediate(done))
			this.onEventRun?.(this.currentOwner, this.realNow() - startedAt)
			startedAt = this.realNow()
			let event = this.queue.pop()
			while (event !== undefined && (event.gone || this.isPostponed(event))) event = this.queue.pop()
			if (event === undefined || event.atMs > untilMs) return
			this.nowMs = Math.max(this.nowMs, event.atMs)
			this.currentOwner = event.owner
			event.run()
		}
	}

	/**
	 * Postpones an event whose process is frozen; returns whether it is. The order of postponed events is random, as all
	 * of them are due at once.
	 */
	private isPostponed(event: ScheduledEvent): boolean {
		const untilMs = event.owner === null ? undefined : this.frozenUntil.get(event.owner)
		if (untilMs === undefined || untilMs <= Math.max(this.nowMs, event.atMs)) return false
		event.atMs = untilMs
		event.sequence += Math.floor(this.random() * FREEZE_SHUFFLE)
		this.queue.push(event)
		return true
	}

	/** Replaces the process's timers, clocks and random numbers; returns what restores them. */
	private replaceGlobals(): () => void {
		const { setTimeout, clearTimeout, setInterval, clearInterval, setImmediate, clearImmediate } = globalThis
		const realTimers = {
			setTimeout,
			clearTimeout,
			setInterval,
			clearInterval,
			setImmediate,
			clearImmediate,
		}
		const realNow = Date.now
		const realPerformance = performance.now
		const realRandom = Math.random
		Object.assign(globalThis, this.virtualTimers())
		Date.now = () => EPOCH_MS + Math.floor(this.nowMs)
		performance.now = () => this.nowMs
		Math.random = () => this.random()
		return () => {
			Object.assign(globalThis, realTimers)
			Date.now = realNow
			performance.now = realPerformance
			Math.random = realRandom
		}
	}

	private virtualTimers() {
		const cancel = (event: unknown) => {
			if (event !== null && typeof event === 'object') (event as ScheduledEvent).gone = true
		}
		return {
			// At least a millisecond: a wait of a fraction that rounding leaves would never pass otherwise.
			setTimeout: (callback: Callback, ms = 0, ...args: unknown[]) =>
				this.after(Math.max(MIN_TIMER_MS, ms), () => callback(...args)),
			clearTimeout: cancel,
			setInterval: (callback: Callback, ms = 0, ...args: unknown[]) =>
				this.every(ms, () => callback(...args)),
			clearInterval: cancel,
			setImmediate: (callback: Callback, ...args: unknown[]) => this.after(0, () => callback(...args)),
			clearImmediate: cancel,
		}
	}

	private every(ms: number, run: () => void): { gone: boolean } {
		const handle = { gone: false }
		const step = () => {
			if (handle.gone) return
			run()
			this.after(ms, step)
		}
		this.after(ms, step)
		return handle
	}
}
