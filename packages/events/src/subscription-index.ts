/** Index of open subscriptions by the jobs and teams that they select. */
import type { Selection } from './cursor.js'
import type { Subscription } from './subscription.js'

type SubscriptionsByKey = Map<string, Set<Subscription>>

const NONE: ReadonlySet<Subscription> = new Set()

/** Open subscriptions, in the order in which they were added. */
export class SubscriptionIndex {
	private readonly subscriptions = new Set<Subscription>()
	private readonly byJob: SubscriptionsByKey = new Map()
	private readonly byTeam: SubscriptionsByKey = new Map()

	get isEmpty(): boolean {
		return this.subscriptions.size === 0
	}

	/** A copy of the list of all subscriptions, which later additions and removals do not change. */
	list(): readonly Subscription[] {
		return [...this.subscriptions]
	}

	/** The subscriptions that name a job. */
	ofJob(uid: string): ReadonlySet<Subscription> {
		return this.byJob.get(uid) ?? NONE
	}

	/** The subscriptions that select a team. */
	ofTeam(team: string): ReadonlySet<Subscription> {
		return this.byTeam.get(team) ?? NONE
	}

	add(subscription: Subscription): void {
		this.subscriptions.add(subscription)
		for (const [index, key] of this.entriesOf(subscription.selection)) {
			const subscriptions = index.get(key) ?? new Set()
			index.set(key, subscriptions.add(subscription))
		}
	}

	remove(subscription: Subscription): void {
		this.subscriptions.delete(subscription)
		for (const [index, key] of this.entriesOf(subscription.selection)) {
			const subscriptions = index.get(key)
			if (subscriptions?.delete(subscription) && subscriptions.size === 0) index.delete(key)
		}
	}

	private *entriesOf(selection: Selection): Iterable<[SubscriptionsByKey, string]> {
		if ('team' in selection) yield [this.byTeam, selection.team]
		else for (const uid of selection.uids) yield [this.byJob, uid]
	}
}
