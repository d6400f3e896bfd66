/** Conversions between gRPC messages and the types and field names of the HTTP protocol. */
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

// An enum value added by a later version arrives as unspecified, which means the default.
const kindOf = (name: KindName): JobKind => kindsByName.get(name) ?? 'sweep'
const priorityOf = (name: PriorityName): Priority => prioritiesByName.get(name) ?? 'normal'

/** The name of a job status in the gRPC definition. */
export const stateName = (status: JobStatus): StateName => STATE_NAMES[status]

/** The job status for a state's name in the gRPC definition; null: this version does not know the state. */
export const stateOf = (name: StateName): JobStatus | null => statusesByName.get(name) ?? null

/** Converts a job to the request of Submit. */
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

/** Converts a submission to the body of the HTTP protocol, so that the same code decodes, validates and rejects it. */
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

/** Field names in the gRPC definition by their names in the HTTP protocol, where they differ. */
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

/** Converts a field path of the HTTP protocol to the name in the gRPC definition; `flavours.0` is a list element. */
export const fieldName = (wirePath: string): string => {
	const [first, ...rest] = wirePath.split('.')
	return [FIELD_NAMES[first] ?? first, ...rest].join('.')
}
