/** Priority queue for the events of the virtual clock. */

/** A callback scheduled at a point in virtual time. */
export interface ScheduledEvent {
	atMs: number
	/** orders events at the same time */
	sequence: number
	run: () => void
	cancelled: boolean
	/** the process that the event belongs to; null if none */
	owner: number | null
}

const isBefore = (a: ScheduledEvent, b: ScheduledEvent): boolean =>
	a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence)

/** A binary min-heap; the earliest event is at the root. */
export class EventQueue {
	private readonly heap: ScheduledEvent[] = []

	/** Adds an event. */
	push(event: ScheduledEvent): void {
		const { heap } = this
		let index = heap.push(event) - 1
		while (index > 0) {
			const parent = (index - 1) >> 1
			if (!isBefore(heap[index], heap[parent])) break
			this.swap(index, parent)
			index = parent
		}
	}

	/** Removes and returns the earliest event; undefined if the queue is empty. */
	pop(): ScheduledEvent | undefined {
		const { heap } = this
		const top = heap[0]
		const last = heap.pop()
		if (heap.length === 0 || last === undefined) return top
		heap[0] = last
		this.siftDown()
		return top
	}

	/** Moves the root event down to restore the heap order. */
	private siftDown(): void {
		const { heap } = this
		let index = 0
		for (;;) {
			const left = index * 2 + 1
			const right = left + 1
			if (left >= heap.length) return
			const earlier = right < heap.length && isBefore(heap[right], heap[left]) ? right : left
			if (!isBefore(heap[earlier], heap[index])) return
			this.swap(index, earlier)
			index = earlier
		}
	}

	private swap(a: number, b: number): void {
		const { heap } = this
		const event = heap[a]
		heap[a] = heap[b]
		heap[b] = event
	}
}
