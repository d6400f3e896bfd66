/** Reads of the state service that are made one at a time, each in a slot of a shared pacer. */

import type { RequestPacer } from '@heathroad/store'
import { Effect } from 'effect'

/** Makes one read after the other while requests are waiting. */
export class SerialReads {
	private reading = false
	private readCount = 0

	/**
	 * @param nextRead called when the slot has come; null: no request is waiting any more. A failed read must not fail
	 *   the effect.
	 * @param onDefect called with an unexpected error of a read
	 */
	constructor(
		private readonly pacer: RequestPacer,
		private readonly isWaiting: () => boolean,
		private readonly nextRead: () => Effect.Effect<void> | null,
		private readonly onDefect: (cause: unknown) => void,
	) {}

	/** Number of reads since the start, for measurements. */
	get count(): number {
		return this.readCount
	}

	/** Starts a read, unless one is in flight or no request is waiting. */
	start(): void {
		if (this.reading || !this.isWaiting()) return
		this.reading = true
		const read = Effect.sleep(this.pacer.reserveDelayMs()).pipe(
			Effect.andThen(Effect.suspend(() => this.readNext())),
			Effect.catchCause((cause) => Effect.sync(() => this.onDefect(cause))),
			Effect.andThen(Effect.sync(() => this.onReadEnded())),
		)
		Effect.runFork(read)
	}

	private onReadEnded(): void {
		this.reading = false
		this.start()
	}

	private readNext(): Effect.Effect<void> {
		const read = this.nextRead()
		if (read === null) return Effect.void
		this.readCount++
		return read
	}
}
