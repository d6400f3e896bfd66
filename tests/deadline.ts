/** Waits of tests over real sockets: each ends by the deadline, with an error that says what was waited for. */
import { setMaxListeners } from 'node:events'

/** One deadline for all waits of a test; it begins at once. */
export class Deadline {
	/** Aborted once the deadline is over or `clear` is called. */
	readonly signal: AbortSignal
	private readonly controller = new AbortController()
	private readonly timer: ReturnType<typeof setTimeout>

	constructor(private readonly ms: number) {
		this.signal = this.controller.signal
		// Every wait of a test listens for it.
		setMaxListeners(0, this.signal)
		this.timer = setTimeout(() => this.controller.abort(), ms)
	}

	/** Ends the deadline early: waits that are left over fail now. */
	clear(): void {
		clearTimeout(this.timer)
		this.controller.abort()
	}

	/** What `work` resolves with; after the deadline an error that says what was waited for. */
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
			throw new Error(`waited until the deadline of ${this.ms} ms: ${describe()}`, { cause: error })
		} finally {
			signal.removeEventListener('abort', fail)
		}
	}

	/** Waits for a condition, which is looked at in this interval. */
	async until(describe: () => string, isReady: () => boolean, intervalMs: number): Promise<void> {
		while (!isReady()) await this.within(describe, new Promise((done) => setTimeout(done, intervalMs)))
	}
}
