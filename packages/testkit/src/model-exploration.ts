/** A small model of which every history is walked through. */
export interface Model<S, A> {
	start: S
	/** what may happen next */
	actions(state: S): Iterable<A>
	/** the state afterwards; the one before stays as it is */
	step(state: S, action: A): S
	/** what must never be; null: nothing is wrong */
	wrong(state: S): string | null
	/** states alike in every respect that counts have one text */
	key(state: S): string
}

export interface Explored<A> {
	states: number
	/** the first history found that ends in something wrong, and what */
	fault: { what: string; history: A[] } | null
}

/** Walks through all states that can be reached, each once, shortest histories first. */
export const explore = <S, A>(model: Model<S, A>, most = 1_000_000): Explored<A> => {
	const seen = new Set([model.key(model.start)])
	const queue: { state: S; last: A | null; before: number }[] = [
		{ state: model.start, last: null, before: -1 },
	]
	const history = (at: number): A[] => {
		const out: A[] = []
		for (let i = at; queue[i].last !== null; i = queue[i].before) out.unshift(queue[i].last as A)
		return out
	}
	for (let i = 0; i < queue.length; i++) {
		const { state } = queue[i]
		const what = model.wrong(state)
		if (what !== null) return { states: seen.size, fault: { what, history: history(i) } }
		for (const action of model.actions(state)) {
			const next = model.step(state, action)
			const key = model.key(next)
			if (seen.has(key)) continue
			if (seen.size >= most) throw new RangeError(`more than ${most} states`)
			seen.add(key)
			queue.push({ state: next, last: action, before: i })
		}
	}
	return { states: seen.size, fault: null }
}
