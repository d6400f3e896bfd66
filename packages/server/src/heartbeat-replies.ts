/** Replies to heartbeats that several modules share. */
import type { HttpReply } from '@heathroad/wire'

/** Asks the machine to send its heartbeat again after a second: nothing can be decided now. */
export const RETRY_LATER: HttpReply = { status: 503, retryAfterS: 1 }
