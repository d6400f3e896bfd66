/** Round-robin scheduling of the streams that have events to send. */

/** A stream that sends one event at a time. */
export interface Sender {
	/** Sends the next event; false: nothing is left to send, or the reader's flow control blocks. */
	send(): boolean
}

/**
 * Lets streams send in turn, a bounded number of events before the event loop runs anything else: a burst for hundreds
 * of readers must not delay the heartbeats of machines.
 */
export class SendScheduler {
	private readonly readySenders = new Set<Sender>()
	private scheduled = false

	/** `defer` runs a callback in a later iteration of the event loop. */
	constructor(
		private readonly eventsPerTurn: number,
		private readonly defer: (callback: () => void) => void,
	) {}

	/** Adds a sender that has events to send. */
	enqueue(sender: Sender): void {
		this.readySenders.add(sender)
		this.scheduleTurn()
	}

	/** Removes a sender whose stream has ended. */
	remove(sender: Sender): void {
		this.readySenders.delete(sender)
	}

	private scheduleTurn(): void {
		if (this.scheduled || this.readySenders.size === 0) return
		this.scheduled = true
		this.defer(() => {
			this.scheduled = false
			this.runTurn()
			this.scheduleTurn()
		})
	}

	private runTurn(): void {
		let remaining = this.eventsPerTurn
		while (remaining > 0 && this.readySenders.size > 0)
			for (const sender of this.readySenders) {
				if (remaining-- <= 0) return
				// Inserted again behind the others, a sender with more events waits for its next turn.
				this.readySenders.delete(sender)
				if (sender.send()) this.readySenders.add(sender)
			}
	}
}
