/**
 * All log events with their level, meaning and recommended action. Names are stable, since alerts and searches depend
 * on them. docs/operating/logs.md lists the same events with their former names.
 */

/** Severity of a log line. */
export type LogLevel = 'error' | 'info' | 'debug'

/** Documentation of an event. */
export interface LogEventInfo {
	level: LogLevel
	/** what happened, with an explanation of the event's fields where needed */
	meaning: string
	/** recommended action for operators */
	action: string
}

/** All events by name. */
export const LOG_EVENTS = {
	'controller started': {
		level: 'info',
		meaning: 'The process serves requests. Fields: name, upMs (time since its start in ms), teams.',
		action: 'None.',
	},
	'process standstill': {
		level: 'info',
		meaning: 'The process did not run for `ms` milliseconds; it waits before it takes shards back.',
		action: 'If it repeats: check for a lack of CPU time and for pauses of the machine.',
	},
	'shard acquired': {
		level: 'info',
		meaning: 'This controller became the owner of a shard, under a new fencing token.',
		action: 'None; many in a row mean that ownership changes too often.',
	},
	'shard lost': {
		level: 'info',
		meaning: 'This controller no longer owns the shard; `why` is the reason.',
		action: 'For `the grant ended`: check the state service and the network to it.',
	},
	'shard reconciling': {
		level: 'info',
		meaning: "A new owner reconstructs the shard from the records and the machines' heartbeats.",
		action: 'None.',
	},
	'shard reconciled': {
		level: 'info',
		meaning: 'Every machine that may run tasks of a former owner is accounted for; scheduling resumes.',
		action: 'If it does not appear within an agent lease: see unreachable machines.',
	},
	'workers reachable again': {
		level: 'info',
		meaning: 'After a handoff because of unreachable machines, machines respond to this controller again.',
		action: 'None.',
	},
	'job accepted': { level: 'info', meaning: 'A submission was stored durably.', action: 'None.' },
	'submission rejected': {
		level: 'info',
		meaning: 'A submission was rejected; `why` is the reason.',
		action: 'For `too many are waiting`: the write rate of the state service is exhausted.',
	},
	'job terminal': { level: 'info', meaning: 'A job finished or was cancelled (`how`).', action: 'None.' },
	'job migrating': {
		level: 'info',
		meaning: 'A waiting job moves to another shard that can start it much sooner.',
		action: 'None.',
	},
	'job quarantined': {
		level: 'info',
		meaning:
			'A job failed on every machine that it was tried on; it gets one trial at a time until its first success.',
		action: 'Notify the owner of the job: the job is probably faulty.',
	},
	'job held': {
		level: 'info',
		meaning: 'An admission check holds the job back.',
		action: 'None; the check is repeated.',
	},
	'job held without an answer': {
		level: 'info',
		meaning: 'An admission check gave no answer, and its settings say to hold the job.',
		action: 'Check the plug-in.',
	},
	'admission check passed': {
		level: 'info',
		meaning: 'An admission check released the job.',
		action: 'None.',
	},
	'admission check skipped': {
		level: 'info',
		meaning: 'A submission was admitted although a check gave no answer in time.',
		action: 'Check the plug-in.',
	},
	'machine booted': { level: 'info', meaning: 'A machine sent its first heartbeat.', action: 'None.' },
	'machines adopted': {
		level: 'info',
		meaning: 'Unregistered machines were assigned to a shard.',
		action: 'None.',
	},
	'preemption notice': {
		level: 'info',
		meaning: 'The cloud reclaims a spot machine in `noticeS` seconds.',
		action: 'None.',
	},
	'scale-out requested': {
		level: 'info',
		meaning: 'New machines are requested from the cloud.',
		action: 'None.',
	},
	'scale-out answered': {
		level: 'info',
		meaning: 'The cloud answered a scale-out request.',
		action: 'If refusals repeat: the offer has no capacity.',
	},
	'machines releasing': {
		level: 'info',
		meaning: 'Machines are released to the cloud, each with the reason.',
		action: 'For `silent`: see unreachable machines.',
	},
	'machine consolidating': {
		level: 'info',
		meaning: 'A partly used machine is drained so that it can be released to the cloud.',
		action: 'None.',
	},
	'faulty machine draining': {
		level: 'info',
		meaning: 'Tasks of several jobs failed on the machine; it is drained and released to the cloud.',
		action: "None; if it repeats for a machine type, notify the cloud's operator.",
	},
	'tasks preempted': {
		level: 'info',
		meaning: 'Running tasks are stopped to make room for other work.',
		action: 'None.',
	},
	'task failed': {
		level: 'info',
		meaning: 'An attempt ended with an error.',
		action: 'None for single failures.',
	},
	'task start rejected': {
		level: 'info',
		meaning: 'A machine rejected the start of a task; `cause` is the reason.',
		action: "For `unknown-job`: the job's description has not been uploaded.",
	},
	'agent lease expired': {
		level: 'info',
		meaning: 'The agent lease of the machine has expired: its tasks have stopped and may start elsewhere.',
		action: 'Check the machine and the network to it.',
	},
	'task disappeared': {
		level: 'debug',
		meaning: 'A heartbeat no longer lists an attempt that was running on the machine.',
		action: 'None.',
	},
	'record format upgraded': {
		level: 'info',
		meaning: 'Every controller supports the second record format; the records are converted to it.',
		action: 'None.',
	},
	'record migration completed': {
		level: 'info',
		meaning: 'All terminal states are in terminal-state pages or in the archive.',
		action: 'None.',
	},
	'jobs archived': {
		level: 'info',
		meaning: 'Terminal states were archived and removed from memory.',
		action: 'None.',
	},
	'open jobs dropped': {
		level: 'info',
		meaning:
			'Jobs that were open here are terminal and archived: this controller missed changes and read all records again. `count` is their number, `uids` the first of them.',
		action:
			'Find out why it missed more changes than the state service keeps: a long network partition or standstill.',
	},
	'archive read failed': {
		level: 'error',
		meaning: 'A page of the archive could not be read.',
		action: 'Run `heathroad state check`.',
	},
	'archival failed': {
		level: 'error',
		meaning: 'A step of the archival failed; the next tick starts over.',
		action: 'If it repeats: run `heathroad state check`.',
	},
	'unsupported record format': {
		level: 'error',
		meaning: 'The records have a format that this version does not support.',
		action: 'Run the newer version.',
	},
	'unexpected error': {
		level: 'error',
		meaning: 'An internal error; all shards are acquired and reconciled again.',
		action: 'Report it with its stack trace.',
	},
	'gRPC server listening': { level: 'info', meaning: 'The gRPC listener is open.', action: 'None.' },
	'gRPC listener failed': {
		level: 'error',
		meaning: 'The gRPC listener reported an error after it had opened; it continues if possible.',
		action: 'For `EMFILE`: raise the limit of open files. Restart if streams are refused.',
	},
	'stream cursor rejected': {
		level: 'info',
		meaning:
			'A stream could not begin at its cursor; `why` is the reason, `revision` the revision known here. Its client starts again from the current state.',
		action:
			'For `out of range`: the client was away for longer than terminal states are kept ([grpc] history), or this controller restarted since they were archived.',
	},
	'stream began': {
		level: 'debug',
		meaning:
			'A stream of a watch began at `cursor`, or with the current state, at this `revision`. `watchId` is assigned by the client, and is the same for all streams of a watch on all controllers.',
		action: 'None.',
	},
	'stream ended': {
		level: 'debug',
		meaning:
			'A stream of a watch ended and can be resumed at `cursor`; if that is empty, it never began. `isComplete`: the terminal state of every named job was sent.',
		action: 'To trace a client that missed an event: find the lines with its `watchId` on all controllers.',
	},
	'slow stream closed': {
		level: 'info',
		meaning: 'A stream was closed because its client did not keep up.',
		action: 'None; the client resumes with its cursor.',
	},
	'drain phase changed': { level: 'info', meaning: 'The drain entered another phase.', action: 'None.' },
	'settings reloaded': {
		level: 'info',
		meaning: 'The INI file and the plug-ins were read again.',
		action: 'None.',
	},
	'immediate shutdown': {
		level: 'info',
		meaning: 'A second signal ended the process during a drain.',
		action: 'None.',
	},
	'controller stopped': { level: 'info', meaning: 'The process exits.', action: 'None.' },
	'plug-in directory unreadable': {
		level: 'error',
		meaning: 'The plug-in directory could not be read.',
		action: 'Check the directory and its permissions.',
	},
	'plug-in invalid': {
		level: 'error',
		meaning: 'A plug-in or its section in the settings is invalid; `what` is the reason.',
		action: 'Correct it.',
	},
	'plug-in removed': {
		level: 'error',
		meaning: 'The folder of a plug-in is gone; its jobs are treated as its settings say.',
		action: 'Restore the folder, or disable the plug-in.',
	},
	'plug-in disabled': { level: 'info', meaning: 'An operator disabled the plug-in.', action: 'None.' },
	'plug-in enabled': { level: 'info', meaning: 'An operator enabled the plug-in.', action: 'None.' },
	'plug-in version active': {
		level: 'info',
		meaning: 'A version of a plug-in became active and answers calls from now on.',
		action: 'None.',
	},
	'plug-in loading': { level: 'info', meaning: 'A version of a plug-in is being loaded.', action: 'None.' },
	'plug-in load failed': { level: 'error', meaning: 'A version could not be loaded.', action: 'See `why`.' },
	'plug-in version rejected': {
		level: 'error',
		meaning: 'A new version could not be loaded or failed its probation; the previous one stays active.',
		action: 'See `why`.',
	},
	'plug-in version kept': { level: 'info', meaning: 'A new version passed its probation.', action: 'None.' },
	'plug-in call failed': {
		level: 'info',
		meaning: 'One call of a plug-in failed.',
		action: 'None for single failures.',
	},
	'plug-in circuit opened': {
		level: 'error',
		meaning: 'The plug-in failed too often; calls to it are suspended for a while.',
		action: 'Check the plug-in.',
	},
} as const satisfies Record<string, LogEventInfo>

/** Name of an event. */
export type LogEvent = keyof typeof LOG_EVENTS

/** Writes a log line; `fields` belong to the event and are explained in its `meaning` where needed. */
export type Log = (level: LogLevel, event: LogEvent, fields?: Record<string, unknown>) => void
