/** Conversions between messages of the definition and the types and field names of the HTTP protocol. */
import type { JobKind, JobSpec, JobStatus, Priority } from '@heathroad/wire'
import { encodeSubmission } from '@heathroad/wire'
import type { Job__Output } from './generated/heathroad/v1/Job.js'
import type { SubmitRequest, SubmitRequest__Output } from './generated/heathroad/v1/SubmitRequest.js'

type KindName = SubmitRequest__Output['kind']
type PriorityName = SubmitRequest__Output['priority']
type StateName = Job__Output['state']

const KIND_NAMES: Record<JobKind, KindName> = {
	sweep: 'KIND_SWEEP',
	daemon: 'KIND_DAEMON',
	gang: 'KIND_GANG',
}
const PRIORITY_NAMES: Record<Priority, PriorityName> = {
	idle: 'PRIORITY_IDLE',
	normal: 'PRIORITY_NORMAL',
	urgent: 'PRIORITY_URGENT',
	production: 'PRIORITY_PRODUCTION',
}
const STATE_NAMES: Record<JobStatus, StateName> = {
	pending: 'STATE_PENDING',
	running: 'STATE_RUNNING',
	done: 'STATE_DONE',
	aborted: 'STATE_CANCELLED',
}

const invert = <Key extends string, Value extends string>(table: Record<Key, Value>): Map<Value, Key> =>
	new Map(Object.entries(table).map(([key, value]) => [value as Value, key as Key]))

const kindsByName = invert(KIND_NAMES)
const prioritiesByName = invert(PRIORITY_NAMES)
const statusesByName = invert(STATE_NAMES)

// A value that a later version adds arrives as unspecified, which stands for the default.
const kindOf = (name: KindName): JobKind => kindsByName.get(name) ?? 'sweep'
const priorityOf = (name: PriorityName): Priority => prioritiesByName.get(name) ?? 'normal'

/** A job status as the definition names it. */
export const stateName = (status: JobStatus): StateName => STATE_NAMES[status]

/** The job status of a state's name; null: this version does not know the state. */
export const stateOf = (name: StateName): JobStatus | null => statusesByName.get(name) ?? null

/** Encodes a job as the request of Submit. */
export const toSubmitRequest = (job: JobSpec): SubmitRequest => ({
	uid: job.uid,
	job_class: job.jobClass,
	team: job.team,
	kind: KIND_NAMES[job.kind],
	priority: PRIORITY_NAMES[job.priority],
	tasks: job.tasks,
	cpus: job.cpus,
	gpus: job.gpus,
	ram_gb: job.ramGb,
	image: job.image,
	image_gb: job.imageGb,
	types: [...(job.types ?? [])],
	zone: job.zone ?? '',
	same_place: job.samePlace,
	apart: job.apart,
	spot: job.spot,
	expected_s: job.expectedS,
	checkpoint_s: job.checkpointS,
	save_s: job.saveS,
	...(job.dueS === null ? {} : { due_s: job.dueS }),
})

/** Converts a submission to its form in the HTTP protocol, so that the same code decodes, validates and refuses it. */
export const toHttpSubmission = (request: SubmitRequest__Output): Record<string, unknown> =>
	encodeSubmission({
		uid: request.uid,
		jobClass: request.job_class,
		team: request.team,
		kind: kindOf(request.kind),
		priority: priorityOf(request.priority),
		tasks: request.tasks,
		cpus: request.cpus,
		gpus: request.gpus,
		ramGb: request.ram_gb,
		image: request.image,
		imageGb: request.image_gb,
		types: request.types.length === 0 ? null : request.types,
		zone: request.zone === '' ? null : request.zone,
		samePlace: request.same_place,
		apart: request.apart,
		spot: request.spot,
		expectedS: request.expected_s,
		checkpointS: request.checkpoint_s,
		saveS: request.save_s,
		dueS: request.due_s ?? null,
	})

/** Field names of the definition by their names in the HTTP protocol, where they differ. */
const FIELD_NAMES: Record<string, keyof SubmitRequest> = {
	jobclass: 'job_class',
	owner: 'team',
	shape: 'kind',
	urgency: 'priority',
	pieces: 'tasks',
	ramGb: 'ram_gb',
	bundle: 'image',
	imageGb: 'image_gb',
	flavours: 'types',
	site: 'zone',
	samePlace: 'same_place',
	reclaimable: 'spot',
	expectedS: 'expected_s',
	snapshotEveryS: 'checkpoint_s',
	snapshotS: 'save_s',
	dueS: 'due_s',
}

/** The name in the definition of a field path of the HTTP protocol; `flavours.0` names one element of a list. */
export const fieldName = (wirePath: string): string => {
	const [first, ...rest] = wirePath.split('.')
	return [FIELD_NAMES[first] ?? first, ...rest].join('.')
}
