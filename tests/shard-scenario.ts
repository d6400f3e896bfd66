/** A shard of the real service whose machines, writes and commands a test controls. */
import type { JobRecord } from '@heathroad/cluster'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Shard } from '@heathroad/controller'
import type { QueuedWrite } from '@heathroad/store'
import { arrayJob, idleDependencies, plainSettings } from '@heathroad/testkit'
import type { Command, Heartbeat, JobSpec, ReportedTask } from '@heathroad/wire'

/** Fencing token of the shard's current owner. */
export const TOKEN = 3
const settings = plainSettings('a')
/** Limits of the scenario's settings. */
export const { heartbeatMs, agentLeaseMs } = deriveLimits(settings)
const ACCEPTED_AT_MS = 1_700_000_000_000
/** Interval of the shard's ticks. */
export const TICK_MS = 250

/** Commands that the shard sent directly to a machine, and the callback that takes the machine's answer. */
interface SentCommands {
	address: string
	commands: Command[]
	answer: (status: number, heartbeat: Heartbeat | null) => void
}

/** Stored record of the group `r` of booted spot machines. */
const storedMachineGroup = (machineIds: readonly string[]) => ({
	part: 0,
	type: 'box',
	zone: 'a',
	spot: true,
	asked: 0,
	hosts: Object.fromEntries(machineIds.map((id) => [id, `${id}:1`])),
})

/** A shard that has just been taken over, with booted machines. Its writes and commands wait until the test answers. */
export const createScenario = (machineIds: readonly string[]) => {
	let nowMs = 0
	const jobs = new Map<string, { record: JobRecord; modRevision: number }>()
	const writes: QueuedWrite[] = []
	const sentCommands: SentCommands[] = []
	const releasedMachines: string[] = []
	const dependencies = idleDependencies({
		now: () => nowMs,
		wallClockMs: () => ACCEPTED_AT_MS + nowMs,
		withPrefix: (prefix) =>
			prefix === 'fleet/' ? [['fleet/r', { data: storedMachineGroup(machineIds), modRevision: 2 }]] : [],
		job: (uid) => jobs.get(uid),
		openJobs: () => jobs.keys(),
		enqueueWrite: (content) => {
			const write = { ...content, deadline: 0 }
			writes.push(write)
			return write
		},
		sendCommands: (address, _fencingToken, _agentEpoch, commands, answer) =>
			sentCommands.push({ address, commands, answer }),
		releaseMachines: (ids) => releasedMachines.push(...ids),
		availableCloudCalls: () => 10,
	})
	const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
	const shard = new Shard(0, TOKEN, config, dependencies)
	const sequences = new Map<string, number>()
	/** the next heartbeat of a machine */
	const makeHeartbeat = (machineId: string, tasks: ReportedTask[], fencingToken = TOKEN): Heartbeat => {
		const sequence = (sequences.get(machineId) ?? 0) + 1
		sequences.set(machineId, sequence)
		return {
			machineId,
			address: `${machineId}:1`,
			machineType: 'box',
			zone: 'a',
			spot: true,
			agentEpoch: 1,
			sequence,
			fencingToken,
			preemptionNoticeS: null,
			tasks,
		}
	}
	/** Delivers a heartbeat; returns the commands in the response, none if there is no response yet. */
	const deliver = (heartbeat: Heartbeat): Command[] => {
		let commands: Command[] = []
		shard.handleHeartbeat(heartbeat, (response) => {
			commands = response?.commands ?? []
		})
		return commands
	}
	return {
		shard,
		jobs,
		sentCommands,
		releasedMachines,
		writes,
		makeHeartbeat,
		deliver,
		heartbeat: (machineId: string, tasks: ReportedTask[] = [], fencingToken = TOKEN) =>
			deliver(makeHeartbeat(machineId, tasks, fencingToken)),
		accept: (uid: string, tasks: number, overrides: Partial<JobSpec> = {}) => {
			const record = {
				shardId: 0,
				spec: arrayJob(uid, { tasks, ...overrides }),
				acceptedAtMs: ACCEPTED_AT_MS,
			}
			jobs.set(uid, { record, modRevision: 0 })
			shard.onJobChanged(uid, record)
		},
		addMachine: (id: string) =>
			shard.onMachineGroupChanged(
				'r',
				storedMachineGroup([...machineIds, id]),
				storedMachineGroup(machineIds),
			),
		removeMachine: (id: string) =>
			shard.onMachineGroupChanged(
				'r',
				storedMachineGroup(machineIds.filter((other) => other !== id)),
				storedMachineGroup(machineIds),
			),
		advance: (ms: number) => {
			for (const until = nowMs + ms; nowMs < until; ) {
				nowMs += TICK_MS
				shard.tick()
			}
		},
	}
}
/** A shard and what surrounds it. */
export type Scenario = ReturnType<typeof createScenario>

/** A task as a machine reports it. */
export const reportedTask = (
	taskName: string,
	state: ReportedTask['state'],
	exitReason: ReportedTask['exitReason'] = null,
	attempt = 7,
): ReportedTask => {
	const [uid, index] = taskName.split('/')
	return { taskName, uid, taskIndex: Number(index), attempt, state, exitReason }
}
/** Names of the tasks that the commands start. */
export const startedTasks = (commands: readonly Command[]) =>
	commands.filter((command) => command.verb === 'start').map((command) => command.taskName)
/** Names of the tasks that the commands let the machine forget. */
export const forgottenTasks = (commands: readonly Command[]) =>
	commands.filter((command) => command.verb === 'forget').map((command) => command.taskName)
