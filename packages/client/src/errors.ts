/** Errors of the client. */

/** A failed call. `mayBeAccepted`: a submission may have been accepted, or may still be accepted. */
export class JobError extends Error {
	constructor(
		message: string,
		/** id of the job that the call was about */
		readonly uid: string,
		readonly mayBeAccepted: boolean,
		options?: { cause?: unknown },
	) {
		super(message, options)
		this.name = new.target.name
	}
}

/** The submission is invalid: a field is missing or wrong. A retry cannot succeed. */
export class MalformedJob extends JobError {}

/** The job can never run: unknown team, no machine large enough, or above its team's limit. A retry cannot succeed. */
export class NeverRuns extends JobError {}

/** No job with that id was ever accepted. */
export class UnknownJob extends JobError {}

/** The call got no answer before its deadline. */
export class DeadlineOver extends JobError {}

/** The caller's signal aborted the call. */
export class Interrupted extends JobError {}

/** The call is not supported over HTTP. */
export class NeedsGrpc extends JobError {}
