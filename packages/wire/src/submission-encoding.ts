/** Client side of a job submission (`POST /v2/runs`); the server side is in `submission.ts`. */
import type { JobSpec } from './jobs.js'

/** Encodes the body with which clients submit a job. */
export const encodeSubmission = (job: JobSpec): Record<string, unknown> => ({
	uid: job.uid,
	jobclass: job.jobClass,
	owner: job.team,
	shape: job.kind,
	urgency: job.priority,
	pieces: job.tasks,
	cpus: job.cpus,
	gpus: job.gpus,
	ramGb: job.ramGb,
	flavours: job.types,
	site: job.zone,
	samePlace: job.samePlace,
	apart: job.apart,
	reclaimable: job.spot,
	bundle: job.image,
	imageGb: job.imageGb,
	expectedS: job.expectedS,
	snapshotEveryS: job.checkpointS,
	snapshotS: job.saveS,
	dueS: job.dueS,
})
