import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import type { LogPosition } from '@heathroad/cluster'

/** What a stream tells: some jobs, or all of a team. */
export type Selection = { uids: readonly string[] } | { team: string }

/**
 * Where a stream stands. `present`: the present state is being told, in the order of ids, and everything up to
 * `uid` has been; final states later than `revision` are told afterwards. `live`: every final state up to this place
 * has been told.
 */
export interface Place extends LogPosition {
	phase: 'present' | 'live'
}

const FORM = /^1\.([pl])\.([0-9a-z]{1,11})\.([^.\s]{0,40})\.([\w-]{16})$/

/** The same for every order in which the ids are given. */
const digest = (selection: Selection): string => {
	if ('team' in selection) return `t:${selection.team}`
	const hash = createHash('sha256')
	for (const uid of [...selection.uids].sort()) hash.update(`${uid} `)
	return `u:${hash.digest('base64url')}`
}

/**
 * Cursors as text. Each is signed with the installation's id, together with the selection that it belongs to: one
 * that was made up, damaged, or given by another installation or for other jobs must not be taken for a place here,
 * since final states before it would never be told.
 */
export class Cursors {
	private readonly selected: string

	constructor(
		private readonly installation: string,
		selection: Selection,
	) {
		this.selected = digest(selection)
	}

	private sign(body: string): string {
		const sum = createHmac('sha256', this.installation).update(`${body} ${this.selected}`)
		return sum.digest('base64url').slice(0, 16)
	}

	write(place: Place): string {
		const body = `1.${place.phase[0]}.${place.revision.toString(36)}.${place.uid}`
		return `${body}.${this.sign(body)}`
	}

	/** The place that a cursor stands for; null: it is not one of this installation and selection. */
	read(text: string): Place | null {
		const parts = FORM.exec(text)
		if (parts === null) return null
		const [, phase, revision, uid, sum] = parts
		const right = Buffer.from(this.sign(text.slice(0, -sum.length - 1)))
		if (!timingSafeEqual(Buffer.from(sum), right)) return null
		return { phase: phase === 'p' ? 'present' : 'live', revision: Number.parseInt(revision, 36), uid }
	}
}
