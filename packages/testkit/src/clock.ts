/** Real and virtual clocks for the simulation, with seeded random numbers. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { EventQueue, type ScheduledEvent } from './event-queue.js'

type Callback = (...args: unknown[]) => void

/** The value of `Date.now` at the start of virtual time. */
const EPOCH_MS = 1_700_000_000_000
/** Shortest delay of a timer, as in Node.js. */
const MIN_TIMER_MS = 1
/** When a frozen process continues, each postponed event moves back in order by up to this number of places. */
const FREEZE_SHUFFLE = 64

/** A clock with timers and seeded random numbers. */
export interface Clock {
	/** the current time in ms */
	readonly nowMs: number
	/**
	 * Schedules `run` after `ms`; setting `cancelled` on the result cancels it. `owner`: the process that `run` belongs
	 * to, null for none; by default the process whose code is running.
	 */
	after(ms: number, run: () => void, owner?: number | null): { cancelled: boolean }
	/** A random number from 0 to 1. */
	random(): number
	/** A random number in a range. */
	between(from: number, to: number): number
}

/** Real time; the random numbers are still seeded. */
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

	after(ms: number, run: () => void): { cancelled: boolean } {
		const event = { cancelled: false }
		if (this.stopped) return event
		const timer = setTimeout(() => {
			this.timers.delete(timer)
			if (!event.cancelled) run()
		}, ms)
		this.timers.add(timer)
		return event
	}

	/** Cancels all scheduled events and ignores later ones. */
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
 * Virtual time. While it runs, it replaces the timers, clocks and random numbers of the whole process, so that the
 * service under test runs unchanged and a seed always gives the same day.
 */
export class VirtualClock implements Clock {
	nowMs = 0
	private scheduledCount = 0
	private readonly queue = new EventQueue()
	private readonly generator
	private readonly realImmediate = setImmediate
	/** The real monotonic clock, in ms; `performance.now` is replaced while virtual time runs. */
	private readonly realNow = performance.now.bind(performance)
	/** Called after every event with its process and the real time that the event and its promises took, in ms. */
	onEventRun: ((owner: number | null, realMs: number) => void) | null = null
	/** the process whose code is running; it owns the timers that the code sets */
	private currentOwner: number | null = null
	/** when frozen processes continue; all of their events that are due before then run at that time */
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
		const event = { atMs, sequence: this.scheduledCount++, run, cancelled: false, owner }
		this.queue.push(event)
		return event
	}

	/** Suspends a process for `ms` while its clocks advance. */
	freeze(owner: number, ms: number): void {
		this.frozenUntil.set(owner, this.nowMs + ms)
	}

	/** Runs `start` with the process's timers and clocks replaced, then all events until `untilMs`. */
	async run(untilMs: number, start: () => void): Promise<void> {
		const restore = this.replaceGlobals()
		try {
			start()
			await this.runEvents(untilMs)
		} finally {
			restore()
		}
	}

	private async runEvents(untilMs: number): Promise<void> {
		for (let startedAt = this.realNow(); ; ) {
			// Lets pending promises settle before the next event.
			await new Promise<void>((done) => this.realImmediate(done))
			this.onEventRun?.(this.currentOwner, this.realNow() - startedAt)
			startedAt = this.realNow()
			let event = this.queue.pop()
			while (event !== undefined && (event.cancelled || this.postponeIfFrozen(event)))
				event = this.queue.pop()
			if (event === undefined || event.atMs > untilMs) return
			this.nowMs = Math.max(this.nowMs, event.atMs)
			this.currentOwner = event.owner
			event.run()
		}
	}

	/**
	 * Postpones an event if its process is frozen; returns whether it did. All postponed events are due at the same time,
	 * so their order is random.
	 */
	private postponeIfFrozen(event: ScheduledEvent): boolean {
		const untilMs = event.owner === null ? undefined : this.frozenUntil.get(event.owner)
		if (untilMs === undefined || untilMs <= Math.max(this.nowMs, event.atMs)) return false
		event.atMs = untilMs
		event.sequence += Math.floor(this.random() * FREEZE_SHUFFLE)
		this.queue.push(event)
		return true
	}

	/** Replaces the process's timers, clocks and random numbers; returns a function that restores them. */
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
			if (event !== null && typeof event === 'object') (event as ScheduledEvent).cancelled = true
		}
		return {
			// At least 1 ms: rounding can leave a delay of a fraction of a millisecond, which would never elapse.
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

	private every(ms: number, run: () => void): { cancelled: boolean } {
		const handle = { cancelled: false }
		const step = () => {
			if (handle.cancelled) return
			run()
			this.after(ms, step)
		}
		this.after(ms, step)
		return handle
	}
}
