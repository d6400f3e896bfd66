import type { JobKind, JobSpec, JobStatus, Priority } from '@heathroad/wire'
import { encodeSubmission } from '@heathroad/wire'
import type { Job__Output } from './generated/heathroad/v1/Job.js'
import type { SubmitRequest, SubmitRequest__Output } from './generated/heathroad/v1/SubmitRequest.js'

type KindName = SubmitRequest__Output['kind']
type PriorityName = SubmitRequest__Output['priority']
type StateName = Job__Output['state']

const KINDS: Record<JobKind, KindName> = { sweep: 'KIND_SWEEP', daemon: 'KIND_DAEMON', gang: 'KIND_GANG' }
const PRIORITIES: Record<Priority, PriorityName> = {
	idle: 'PRIORITY_IDLE',
	normal: 'PRIORITY_NORMAL',
	urgent: 'PRIORITY_URGENT',
	production: 'PRIORITY_PRODUCTION',
}
const STATES: Record<JobStatus, StateName> = {
	pending: 'STATE_PENDING',
	running: 'STATE_RUNNING',
	done: 'STATE_DONE',
	aborted: 'STATE_CANCELLED',
}

const reversed = <A extends string, B extends string>(table: Record<A, B>) =>
	new Map(Object.entries(table).map(([a, b]) => [b as B, a as A]))

const kinds = reversed(KINDS)
const priorities = reversed(PRIORITIES)
const states = reversed(STATES)

/** Values that a later version adds are read as unspecified, which stands for the ordinary one. */
const kindOf = (name: KindName): JobKind => kinds.get(name) ?? 'sweep'
const priorityOf = (name: PriorityName): Priority => priorities.get(name) ?? 'normal'

export const stateName = (status: JobStatus): StateName => STATES[status]
/** null: a state that this version does not know. */
export const stateOf = (name: StateName): JobStatus | null => states.get(name) ?? null

export const toSubmitRequest = (job: JobSpec): SubmitRequest => ({
	uid: job.uid,
	job_class: job.jobClass,
	team: job.team,
	kind: KINDS[job.kind],
	priority: PRIORITIES[job.priority],
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

/** A submission as the protocol over HTTP has it: it is read, checked and refused there, by the same code. */
export const toWire = (m: SubmitRequest__Output): Record<string, unknown> =>
	encodeSubmission({
		uid: m.uid,
		jobClass: m.job_class,
		team: m.team,
		kind: kindOf(m.kind),
		priority: priorityOf(m.priority),
		tasks: m.tasks,
		cpus: m.cpus,
		gpus: m.gpus,
		ramGb: m.ram_gb,
		image: m.image,
		imageGb: m.image_gb,
		types: m.types.length === 0 ? null : m.types,
		zone: m.zone === '' ? null : m.zone,
		samePlace: m.same_place,
		apart: m.apart,
		spot: m.spot,
		expectedS: m.expected_s,
		checkpointS: m.checkpoint_s,
		saveS: m.save_s,
		dueS: m.due_s ?? null,
	})

const FIELDS: Record<string, keyof SubmitRequest> = {
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

/** A field of the protocol over HTTP by its name here; `flavours.0` stands for one of several. */
export const fieldName = (wire: string): string => {
	const [first, ...rest] = wire.split('.')
	return [FIELDS[first] ?? first, ...rest].join('.')
}
