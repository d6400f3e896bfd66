import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

type Callback = (...args: unknown[]) => void
interface Event {
	at: number
	order: number
	run: () => void
	gone: boolean
	/** the process that it belongs to, if any */
	owner: number | null
}

/** What stand-ins need of time and chance. */
export interface Clock {
	readonly nowMs: number
	/** `owner`: the process that does it; without one, that which asks */
	after(ms: number, run: () => void, owner?: number | null): { gone: boolean }
	random(): number
	between(from: number, to: number): number
}

/** Time as it passes, for a demonstration; the chances are a seed's all the same. */
export class RealClock implements Clock {
	private readonly rng
	private readonly timers = new Set<ReturnType<typeof setTimeout>>()
	private stopped = false

	constructor(seed = 1) {
		this.rng = xoroshiro128plus(seed)
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

	/** Nothing that was put off happens any more. */
	stop(): void {
		this.stopped = true
		for (const t of this.timers) clearTimeout(t)
	}

	random(): number {
		return uniformFloat64(this.rng)
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
	private order = 0
	private readonly heap: Event[] = []
	private readonly rng
	private readonly realImmediate = setImmediate
	/** the process whose code runs: timers that it sets are its own */
	private current: number | null = null
	/** processes that stand still, and until when: what is due meanwhile happens then, all at once */
	private readonly still = new Map<number, number>()

	constructor(seed: number) {
		this.rng = xoroshiro128plus(seed)
	}

	random(): number {
		return uniformFloat64(this.rng)
	}

	between(from: number, to: number): number {
		return from + (to - from) * this.random()
	}

	after(ms: number, run: () => void, owner = this.current): Event {
		const event = { at: this.nowMs + Math.max(0, ms || 0), order: this.order++, run, gone: false, owner }
		this.push(event)
		return event
	}

	/** A process stands still while its clocks run on. */
	freeze(owner: number, ms: number): void {
		this.still.set(owner, this.nowMs + ms)
	}

	/** Is the event put off because its process stands still? In any order: all of it is due at once afterwards. */
	private putOff(event: Event): boolean {
		const until = event.owner === null ? undefined : this.still.get(event.owner)
		if (until === undefined || until <= Math.max(this.nowMs, event.at)) return false
		event.at = until
		event.order += Math.floor(this.random() * 64)
		this.push(event)
		return true
	}

	private push(event: Event): void {
		const h = this.heap
		let i = h.push(event) - 1
		while (i > 0) {
			const up = (i - 1) >> 1
			if (!this.before(h[i], h[up])) break
			;[h[i], h[up]] = [h[up], h[i]]
			i = up
		}
	}

	private before(a: Event, b: Event): boolean {
		return a.at < b.at || (a.at === b.at && a.order < b.order)
	}

	private pop(): Event | undefined {
		const h = this.heap
		const top = h[0]
		const last = h.pop()
		if (h.length === 0 || last === undefined) return top
		h[0] = last
		let i = 0
		for (;;) {
			const left = i * 2 + 1
			if (left >= h.length) break
			const least = left + 1 < h.length && this.before(h[left + 1], h[left]) ? left + 1 : left
			if (!this.before(h[least], h[i])) break
			;[h[i], h[least]] = [h[least], h[i]]
			i = least
		}
		return top
	}

	/** Runs `day` with the process's clocks replaced, then events until `untilMs`. */
	async run(untilMs: number, day: () => void): Promise<void> {
		const real = {
			setTimeout: globalThis.setTimeout,
			clearTimeout: globalThis.clearTimeout,
			setInterval: globalThis.setInterval,
			clearInterval: globalThis.clearInterval,
			setImmediate: globalThis.setImmediate,
			clearImmediate: globalThis.clearImmediate,
		}
		const realNow = Date.now
		const realPerformance = performance.now
		const realRandom = Math.random
		const clear = (event: unknown) => {
			if (event !== null && typeof event === 'object') (event as Event).gone = true
		}
		// As Node has it: at least a millisecond, or a wait of a fraction that rounding leaves never passes.
		const later = (f: Callback, ms = 0, ...args: unknown[]) => this.after(Math.max(1, ms), () => f(...args))
		const again = (f: Callback, ms = 0, ...args: unknown[]) => {
			const handle = { gone: false }
			const step = () => {
				if (handle.gone) return
				f(...args)
				this.after(ms, step)
			}
			this.after(ms, step)
			return handle
		}
		Object.assign(globalThis, {
			setTimeout: later,
			clearTimeout: clear,
			setInterval: again,
			clearInterval: clear,
			setImmediate: (f: Callback, ...args: unknown[]) => this.after(0, () => f(...args)),
			clearImmediate: clear,
		})
		Date.now = () => 1_700_000_000_000 + Math.floor(this.nowMs)
		performance.now = () => this.nowMs
		Math.random = () => this.random()
		try {
			day()
			for (;;) {
				// Promises settle between two events.
				await new Promise<void>((done) => this.realImmediate(done))
				let event = this.pop()
				while (event !== undefined && (event.gone || this.putOff(event))) event = this.pop()
				if (event === undefined || event.at > untilMs) break
				this.nowMs = Math.max(this.nowMs, event.at)
				this.current = event.owner
				event.run()
			}
		} finally {
			Object.assign(globalThis, real)
			Date.now = realNow
			performance.now = realPerformance
			Math.random = realRandom
		}
	}
}
