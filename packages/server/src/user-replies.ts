/** Replies that several user calls share. */
import type { HttpReply } from '@heathroad/wire'

/** The job is not known here, and nobody has submitted it as of now. */
export const NO_SUCH_JOB: HttpReply = { status: 404, body: { error: 'no such job' } }
export const NO_SUCH_PATH: HttpReply = { status: 404, body: { error: 'no such path' } }
export const METHOD_NOT_ALLOWED: HttpReply = { status: 405, body: { error: 'method not allowed' } }

/** Asks the user to retry after some seconds. */
export const retryLater = (retryAfterS = 1, status = 503): HttpReply => ({
	status,
	body: { error: 'come back later' },
	retryAfterS,
})
