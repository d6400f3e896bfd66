/** Collects the answers of all plug-ins for one admission. */

/** Calls `done` once: on the first refusal, or when every plug-in has answered. */
export class PendingAdmission {
	/** names of the plug-ins that have released the job; releases after the call of `done` are still added */
	readonly released: string[] = []

	constructor(
		private answersLeft: number,
		private readonly done: (refusal: string | null, released: readonly string[]) => void,
	) {}

	/** Records an answer; `refusal`: its reason, or null if the answer is not a refusal. */
	answered(refusal: string | null): void {
		if (this.answersLeft === 0) return
		this.answersLeft = refusal === null ? this.answersLeft - 1 : 0
		if (this.answersLeft === 0) this.done(refusal, this.released)
	}
}
