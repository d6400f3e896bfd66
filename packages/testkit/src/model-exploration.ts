/** Explores all reachable states of a small model (explicit-state model checking). */

/** A model: its initial state, its transitions and its invariant. */
export interface Model<State, Action> {
	start: State
	/** actions that are possible in this state */
	actions(state: State): Iterable<Action>
	/** the state after the action; doesn't change `state` */
	step(state: State, action: Action): State
	/** description of the invariant that the state violates; null: none */
	violatedInvariant(state: State): string | null
	/** identifies the state; equivalent states have the same key */
	key(state: State): string
}

/** Result of an exploration. */
export interface Exploration<Action> {
	/** number of distinct states */
	states: number
	/** the first violation, and a shortest sequence of actions that leads to it; null: none */
	violation: { what: string; history: Action[] } | null
}

/** A state to visit, and how it was reached. */
interface Visit<State, Action> {
	state: State
	/** the action that led to it; null: this is the initial state */
	action: Action | null
	/** index of the visit from which the action started */
	previous: number
}

/**
 * Visits every reachable state once, in breadth-first order, up to the first violation.
 * @throws RangeError if there are more than `maxStates`
 */
export const explore = <State, Action>(
	model: Model<State, Action>,
	maxStates = 1_000_000,
): Exploration<Action> => {
	const seen = new Set([model.key(model.start)])
	const visits: Visit<State, Action>[] = [{ state: model.start, action: null, previous: -1 }]
	for (let index = 0; index < visits.length; index++) {
		const { state } = visits[index]
		const what = model.violatedInvariant(state)
		if (what !== null) return { states: seen.size, violation: { what, history: historyOf(visits, index) } }
		for (const action of model.actions(state)) {
			const next = model.step(state, action)
			const key = model.key(next)
			if (seen.has(key)) continue
			if (seen.size >= maxStates) throw new RangeError(`more than ${maxStates} states`)
			seen.add(key)
			visits.push({ state: next, action, previous: index })
		}
	}
	return { states: seen.size, violation: null }
}

/** Returns the actions that led to a visit, in order. */
const historyOf = <State, Action>(visits: readonly Visit<State, Action>[], last: number): Action[] => {
	const history: Action[] = []
	let visit = visits[last]
	while (visit.action !== null) {
		history.unshift(visit.action)
		visit = visits[visit.previous]
	}
	return history
}
