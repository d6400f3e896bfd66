/** Reads of the store that are made one at a time, each in a slot of a shared pacer. */

import type { RequestPacer } from '@heathroad/store'
import { Effect } from 'effect'

/** Makes reads as long as something waits for one. */
export class SerialReads {
	private reading = false
	private readCount = 0

	/**
	 * @param nextRead chosen when its slot has come; null: nothing waits any more. A failed read must not fail the effect.
	 * @param onDefect reports an unexpected error of a read
	 */
	constructor(
		private readonly pacer: RequestPacer,
		private readonly isWaiting: () => boolean,
		private readonly nextRead: () => Effect.Effect<void> | null,
		private readonly onDefect: (cause: unknown) => void,
	) {}

	/** Reads so far, for measurements. */
	get count(): number {
		return this.readCount
	}

	/** Starts to read, unless a read is in flight or nothing waits for one. */
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
