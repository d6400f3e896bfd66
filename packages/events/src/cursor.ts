/** Cursors: the tokens with which clients resume event streams. */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import type { LogPosition } from '@heathroad/cluster'

/** The jobs whose events a stream delivers: named jobs, or all jobs of a team. */
export type Selection = { uids: readonly string[] } | { team: string }

/**
 * Position of a stream. `present`: the stream is delivering the initial snapshot, in the order of ids, and has
 * delivered it up to and including `uid`; terminal states later than `revision` follow the snapshot. `live`: every
 * terminal state up to this position has been delivered. The first letter of the phase is part of the cursor's text.
 */
export interface StreamPosition extends LogPosition {
	phase: 'present' | 'live'
}

/** Version, phase, revision in base 36, job id and signature. */
const CURSOR_FORMAT = /^1\.([pl])\.([0-9a-z]{1,11})\.([^.\s]{0,40})\.([\w-]{16})$/
const REVISION_RADIX = 36
/** Length of the signature in base64url characters: 96 bits. */
const SIGNATURE_LENGTH = 16

/** Digest of a selection that does not depend on the order of the ids. */
const selectionDigest = (selection: Selection): string => {
	if ('team' in selection) return `t:${selection.team}`
	const hash = createHash('sha256')
	for (const uid of [...selection.uids].sort()) hash.update(`${uid} `)
	return `u:${hash.digest('base64url')}`
}

/**
 * Encodes and decodes the cursors of one selection. A cursor is signed with the installation's id and the selection: if
 * one that is forged, damaged, or of another installation or selection passed as a position in this stream, terminal
 * states before that position would never be delivered.
 */
export class CursorCodec {
	private readonly digest: string

	constructor(
		private readonly installation: string,
		selection: Selection,
	) {
		this.digest = selectionDigest(selection)
	}

	/** Encodes a position as a cursor. */
	encode(position: StreamPosition): string {
		const body = `1.${position.phase[0]}.${position.revision.toString(REVISION_RADIX)}.${position.uid}`
		return `${body}.${this.sign(body)}`
	}

	/** Decodes a cursor; null: it is malformed or of another installation or selection. */
	decode(cursor: string): StreamPosition | null {
		const match = CURSOR_FORMAT.exec(cursor)
		if (match === null) return null
		const [, phase, revision, uid, signature] = match
		const body = cursor.slice(0, -signature.length - 1)
		const expected = Buffer.from(this.sign(body))
		if (!timingSafeEqual(Buffer.from(signature), expected)) return null
		return {
			phase: phase === 'p' ? 'present' : 'live',
			revision: Number.parseInt(revision, REVISION_RADIX),
			uid,
		}
	}

	private sign(body: string): string {
		const hmac = createHmac('sha256', this.installation).update(`${body} ${this.digest}`)
		return hmac.digest('base64url').slice(0, SIGNATURE_LENGTH)
	}
}
