/** Resume tokens (cursors) of event streams. */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import type { LogPosition } from '@heathroad/cluster'

/** What a stream delivers: the named jobs, or all jobs of a team. */
export type Selection = { uids: readonly string[] } | { team: string }

/**
 * Position of a stream. `present`: the stream is delivering the initial snapshot in the order of ids, and has delivered
 * it up to and including `uid`; terminal states later than `revision` follow after it. `live`: every terminal state up
 * to this position has been delivered. The first letter of the phase is part of the cursor's text.
 */
export interface StreamPosition extends LogPosition {
	phase: 'present' | 'live'
}

/** Version, phase, revision in base 36, id, and signature. */
const CURSOR_FORMAT = /^1\.([pl])\.([0-9a-z]{1,11})\.([^.\s]{0,40})\.([\w-]{16})$/
const REVISION_RADIX = 36
/** Characters of the signature, base64url: 96 bits. */
const SIGNATURE_LENGTH = 16

/** Digest of a selection; it does not depend on the order of the ids. */
const selectionDigest = (selection: Selection): string => {
	if ('team' in selection) return `t:${selection.team}`
	const hash = createHash('sha256')
	for (const uid of [...selection.uids].sort()) hash.update(`${uid} `)
	return `u:${hash.digest('base64url')}`
}

/**
 * Encodes positions as cursors and back. A cursor is signed with the installation's id and the selection: a forged or
 * damaged one, or one of another installation or selection, must not be taken for a position in this stream, or terminal
 * states before it would never be delivered.
 */
export class CursorCodec {
	private readonly digest: string

	constructor(
		private readonly installation: string,
		selection: Selection,
	) {
		this.digest = selectionDigest(selection)
	}

	/** Encodes a position. */
	encode(position: StreamPosition): string {
		const body = `1.${position.phase[0]}.${position.revision.toString(REVISION_RADIX)}.${position.uid}`
		return `${body}.${this.sign(body)}`
	}

	/** Decodes a cursor; null: it is malformed, or not one of this installation and selection. */
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
