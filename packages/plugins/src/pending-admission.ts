/** Collects the answers of all plug-ins to one admission. */

/** Reports the first refusal, or that every plug-in has answered, whichever comes first; once. */
export class PendingAdmission {
	/** names of plug-ins that released the job already; later answers are added here also after the report */
	readonly released: string[] = []

	constructor(
		private answersLeft: number,
		private readonly done: (refusal: string | null, released: readonly string[]) => void,
	) {}

	/** Records an answer; null: it is no refusal. */
	answered(refusal: string | null): void {
		if (this.answersLeft === 0) return
		this.answersLeft = refusal === null ? this.answersLeft - 1 : 0
		if (this.answersLeft === 0) this.done(refusal, this.released)
	}
}
