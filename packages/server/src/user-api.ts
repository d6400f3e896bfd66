/** The users' HTTP interface: routes requests to submissions, statuses and cancellations. */
import type { HttpReply } from '@heathroad/wire'
import { Effect } from 'effect'
import type { ControllerContext } from './controller-context.js'
import { METHOD_NOT_ALLOWED, NO_SUCH_PATH } from './http-replies.js'
import type { HttpRequest, Respond } from './http-server.js'
import { JobCanceller } from './job-cancellation.js'
import { JobStatusReader } from './job-status.js'
import { JobSubmissions } from './job-submission.js'

const JOBS_PATH = '/v2/runs'
const CANCEL_VERB = 'withdraw'

/** Returns whether a path belongs to the users' interface. */
export const isUserPath = (path: string): boolean => path === JOBS_PATH || path.startsWith(`${JOBS_PATH}/`)

/** Handles users' requests: every response is durable and at least as recent as a read that starts after the request. */
export class UserApi {
	private readonly statusReader: JobStatusReader
	private readonly canceller: JobCanceller
	private readonly submissions: JobSubmissions

	constructor(context: ControllerContext) {
		this.statusReader = new JobStatusReader(context)
		this.canceller = new JobCanceller(context, this.statusReader)
		this.submissions = new JobSubmissions(context, this.statusReader, (call, respond) =>
			this.runCall(call, respond),
		)
	}

	/** Handles a user's request, including requests for unknown paths. */
	handle({ method, path, body }: HttpRequest, respond: Respond): void {
		if (path === JOBS_PATH) {
			if (method !== 'POST') {
				respond(METHOD_NOT_ALLOWED)
				return
			}
			this.submissions.submit(body, respond)
			return
		}
		if (!path.startsWith(`${JOBS_PATH}/`)) {
			respond(NO_SUCH_PATH)
			return
		}
		const [uid, verb, ...rest] = path.slice(JOBS_PATH.length + 1).split('/')
		if (rest.length > 0 || (verb !== undefined && verb !== CANCEL_VERB)) {
			respond(NO_SUCH_PATH)
			return
		}
		if (method !== (verb === CANCEL_VERB ? 'POST' : 'GET')) {
			respond(METHOD_NOT_ALLOWED)
			return
		}
		this.runCall(verb === CANCEL_VERB ? this.canceller.cancel(uid) : this.statusReader.read(uid), respond)
	}

	/** Number of submissions without a response so far. */
	get pendingSubmissions(): number {
		return this.submissions.pendingCount
	}

	private runCall(call: Effect.Effect<HttpReply>, respond: Respond): void {
		Effect.runFork(call.pipe(Effect.map((reply) => respond(this.statusReader.delayUnconfirmed(reply)))))
	}
}
