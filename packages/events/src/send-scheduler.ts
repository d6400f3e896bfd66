/** Round-robin scheduling of the streams that have events to send. */

/** A stream that sends one event at a time. */
export interface Sender {
	/** Sends the next event; false: there is nothing left to send, or the reader's flow control blocks. */
	send(): boolean
}

/**
 * Lets streams send one event each in turn, and yields to the event loop after a bounded number of events, so that a
 * burst for hundreds of readers does not delay the heartbeats of machines.
 */
export class SendScheduler {
	private readonly readySenders = new Set<Sender>()
	private scheduled = false

	/** `defer` must run its callback in a later iteration of the event loop. */
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
				// A sender with more events moves to the end of the set and waits until the others have sent.
				this.readySenders.delete(sender)
				if (sender.send()) this.readySenders.add(sender)
			}
	}
}
