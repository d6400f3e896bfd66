/** Explores all reachable states of a small model (explicit-state model checking). */

/** A model: its initial state, its transitions and its invariant. */
export interface Model<State, Action> {
	start: State
	/** what may happen next */
	actions(state: State): Iterable<Action>
	/** the state afterwards; the one before is not changed */
	step(state: State, action: Action): State
	/** which invariant the state violates; null: none */
	wrong(state: State): string | null
	/** a text that is the same for states that are alike in every relevant respect */
	key(state: State): string
}

/** What an exploration found. */
export interface Exploration<Action> {
	/** number of distinct states */
	states: number
	/** the first violation, and the shortest history that leads to it; null: none */
	fault: { what: string; history: Action[] } | null
}

/** A state to visit, and how it was reached. */
interface Visit<State, Action> {
	state: State
	/** the action that led to it; null: it is the initial state */
	action: Action | null
	/** index of the visit before it */
	previous: number
}

/**
 * Visits every reachable state once, those with the shortest histories first.
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
		const what = model.wrong(state)
		if (what !== null) return { states: seen.size, fault: { what, history: historyOf(visits, index) } }
		for (const action of model.actions(state)) {
			const next = model.step(state, action)
			const key = model.key(next)
			if (seen.has(key)) continue
			if (seen.size >= maxStates) throw new RangeError(`more than ${maxStates} states`)
			seen.add(key)
			visits.push({ state: next, action, previous: index })
		}
	}
	return { states: seen.size, fault: null }
}

/** The actions that led to a visit, in order. */
const historyOf = <State, Action>(visits: readonly Visit<State, Action>[], last: number): Action[] => {
	const history: Action[] = []
	let visit = visits[last]
	while (visit.action !== null) {
		history.unshift(visit.action)
		visit = visits[visit.previous]
	}
	return history
}
