/**
 * One value of each kind that is stored or sent, in the types of the code. The fixtures hold their bytes, which must
 * stay the same when a type or a field is renamed here.
 */
import type {
	AcceptedJobRecord,
	CancelledJob,
	HistoryRecord,
	JobRecord,
	MachineGroupRecord,
	PeerStatus,
	ShardOwnerRecord,
	TakeoverPromiseRequest,
	TerminalPage,
} from '@heathroad/cluster'
import type { ArchivedJob, ArchivePage } from '@heathroad/history'
import type { Facts } from '@heathroad/plugin-api'
import type { Command, Heartbeat, JobSpec, MachineType } from '@heathroad/wire'

export const jobSpec: JobSpec = {
	uid: 'job-000412',
	jobClass: 'risk',
	team: 'core',
	kind: 'sweep',
	priority: 'urgent',
	tasks: 1500,
	cpus: 0.5,
	gpus: 1,
	ramGb: 2.25,
	types: ['box', 'g8'],
	zone: 'a',
	samePlace: true,
	apart: false,
	spot: true,
	image: 'img-1',
	imageGb: 1.5,
	expectedS: 30,
	checkpointS: 10,
	saveS: 2,
	dueS: 3600,
}

/** With null in every nullable field. */
export const plainSpec: JobSpec = {
	...jobSpec,
	uid: 'job-00000000000000000007',
	kind: 'daemon',
	priority: 'idle',
	tasks: 1,
	types: null,
	zone: null,
	dueS: null,
}

export const gangSpec: JobSpec = { ...plainSpec, uid: 'job-000413', kind: 'gang', priority: 'production' }

export const shardOwnerRecord: ShardOwnerRecord = { owner: 'ctl-0', incarnation: 'ctl-0:loyw3v64emflas' }

export const machineGroupRecord: MachineGroupRecord = {
	shardId: 1,
	machineType: 'box',
	zone: 'a',
	spot: true,
	requestedCount: 0,
	addresses: { 'i-000001': null, 'i-000002': 'i-000002:1' },
}

export const scaleOutRecord: MachineGroupRecord = {
	shardId: 2,
	machineType: 'g8',
	zone: 'b',
	spot: false,
	requestedCount: 3,
	addresses: {},
}

export const acceptedJob: AcceptedJobRecord = { shardId: 0, spec: jobSpec, acceptedAtMs: 1_700_000_000_123 }

export const checkedJob: AcceptedJobRecord = {
	shardId: 2,
	spec: plainSpec,
	acceptedAtMs: 1_700_000_000_456,
	requiredChecks: ['budget', 'data'],
}

export const startedJob: JobRecord = { ...acceptedJob, doneRanges: [0, 17, 20, 1024] }

/** In the first format: the terminal state under the job's own key. */
export const doneJob: JobRecord = {
	shardId: 0,
	finalState: 'done',
	taskCount: 1500,
	resources: { team: 'core', cpus: 0.5, gpus: 1, ramGb: 2.25 },
}

export const cancelledJob: JobRecord = {
	shardId: 1,
	finalState: 'aborted',
	taskCount: 9,
	resources: { team: 'core', cpus: 1, gpus: 0, ramGb: 4 },
	doneCount: 3,
}

export const historyRecord: HistoryRecord = { format: 2, archivalEpoch: 7, legacy: false }

export const terminalPage: TerminalPage = {
	shardId: 1,
	batches: [
		{
			revision: 118,
			jobs: [
				{
					uid: 'job-000001',
					finalState: 'done',
					taskCount: 4,
					doneCount: 4,
					resources: { team: 'core', cpus: 0.5, gpus: 1, ramGb: 2.25 },
				},
			],
		},
		{
			revision: null,
			jobs: [
				{
					uid: 'job-000002',
					finalState: 'aborted',
					taskCount: 9,
					doneCount: 3,
					resources: { team: 'team-a', cpus: 1, gpus: 0, ramGb: 4 },
				},
			],
		},
	],
}

export const machineTypes: MachineType[] = [
	{
		name: 'g8',
		cpus: 16,
		gpus: 2,
		ramGb: 64,
		cacheGb: 200,
		fetchGbPerS: 0.5,
		price: 2.4,
		spotPrice: 0.7,
		bootS: 90,
		zones: ['a', 'b'],
	},
]

export const archivedJobs: ArchivedJob[] = [
	{ ordinal: '06000001', aborted: false, taskCount: 4, doneCount: 4, revision: 118 },
	{ ordinal: '06000002', aborted: true, taskCount: 9, doneCount: 3, revision: 240 },
	{ ordinal: '2000000000000000000007', aborted: false, taskCount: 2500, doneCount: 2500, revision: 119 },
]

export const emptiedArchivePage: Omit<ArchivePage, 'packed'> = {
	from: '06000000',
	to: '~',
	depth: 3,
	deeper: true,
	modRevision: 31,
}

export const peerStatus: PeerStatus = {
	name: 'c-0',
	incarnation: 'c-0:loyw3v64emflas',
	leaseId: 4,
	uptimeMs: 5250,
	ready: true,
	unreachableShards: [1],
	runningTasks: { 'job-000412': 3 },
	quarantinedJobs: ['job-000007'],
	ownerLookups: { 1: 4 },
	partitionedShards: [0, 2],
	teamUsage: { 'team-a': { cpus: 12, gpus: 1 } },
	exhaustedOffers: { 'box/a/spot': 1759 },
	supportsArchive: true,
}

export const takeoverPromiseRequest: TakeoverPromiseRequest = {
	member: 'c-0',
	ownedShards: new Map([[0, 9]]),
	revision: 118,
}

export const cancellations: CancelledJob[] = [
	{ uid: 'job-000412', revision: 119 },
	{ uid: 'job-000413', revision: 121 },
]

export const heartbeat: Heartbeat = {
	machineId: 'i-000001',
	address: 'i-000001:1',
	machineType: 'box',
	zone: 'a',
	spot: true,
	agentEpoch: 2,
	sequence: 2n ** 60n,
	fencingToken: 5,
	preemptionNoticeS: 1.5,
	tasks: [
		{
			taskName: 'job-000412/4',
			uid: 'job-000412',
			taskIndex: 4,
			attempt: 5_242_881,
			state: 'checkpointing',
			exitReason: null,
		},
		{
			taskName: 'job-000412/5',
			uid: 'job-000412',
			taskIndex: 5,
			attempt: 5_242_882,
			state: 'exited',
			exitReason: 'insufficient-resources',
		},
	],
}

export const commands: Command[] = [
	{ verb: 'start', taskName: 'job-000412/4', attempt: 5_242_881 },
	{ verb: 'kill', taskName: 'job-000412/5', attempt: 2 ** 33, gracePeriodS: 4.5 },
	{ verb: 'forget', taskName: 'job-000412/6', attempt: 2n ** 60n },
]

export const facts: Facts = {
	api: 1,
	waitedS: 4.25,
	leftS: 55.75,
	asked: 2,
	waiting: 3,
	team: { name: 'core', cpus: 10, gpus: 0, cpusMax: 64, gpusMax: 2 },
	teamJobs: ['job-000412'],
}
