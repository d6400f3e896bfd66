/** Deadlines for tests over real sockets: a wait that exceeds one fails with an error that names what it waited for. */
import { setMaxListeners } from 'node:events'

/** One deadline for all waits of a test; it starts when constructed. */
export class Deadline {
	/** Aborted when the deadline passes or `clear` is called. */
	readonly signal: AbortSignal
	private readonly controller = new AbortController()
	private readonly timer: ReturnType<typeof setTimeout>

	constructor(private readonly ms: number) {
		this.signal = this.controller.signal
		// Every wait of a test adds a listener.
		setMaxListeners(0, this.signal)
		this.timer = setTimeout(() => this.controller.abort(), ms)
	}

	/** Ends the deadline early: pending waits fail now. */
	clear(): void {
		clearTimeout(this.timer)
		this.controller.abort()
	}

	/** Resolves as `work` does; fails after the deadline with an error that says what it waited for (`describe`). */
	async within<T>(describe: () => string, work: Promise<T>): Promise<T> {
		const { signal } = this
		let fail = (): void => {}
		const overdue = new Promise<never>((_, reject) => {
			fail = () => reject(signal.reason)
		})
		signal.addEventListener('abort', fail)
		if (signal.aborted) fail()
		try {
			return await Promise.race([work, overdue])
		} catch (error) {
			if (!signal.aborted) throw error
			throw new Error(`deadline of ${this.ms} ms exceeded while waiting for ${describe()}`, { cause: error })
		} finally {
			signal.removeEventListener('abort', fail)
		}
	}

	/** Polls until `isReady` returns true. */
	async until(describe: () => string, isReady: () => boolean, intervalMs: number): Promise<void> {
		while (!isReady()) await this.within(describe, new Promise((done) => setTimeout(done, intervalMs)))
	}
}
