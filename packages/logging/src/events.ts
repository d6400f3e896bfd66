/**
 * Every event that the service logs, with its meaning and the action for operators. Names are stable: alerts and searches
 * depend on them. docs/operating/logs.md lists them with their former wording.
 */

/** Severity of a log line. */
export type LogLevel = 'error' | 'info' | 'debug'

/** Documentation of an event. */
export interface LogEventInfo {
	level: LogLevel
	/** what happened, with the event's fields */
	meaning: string
	/** what an operator should do */
	action: string
}

/** All events by name. */
export const LOG_EVENTS = {
	'controller started': {
		level: 'info',
		meaning: 'The process serves. Fields: name, upMs since its start, teams.',
		action: 'None.',
	},
	'process standstill': {
		level: 'info',
		meaning: 'The process did not run for `ms`; it waits before shards come back to it.',
		action: 'If it repeats: look for a processor that is short or a machine that is paused.',
	},
	'shard acquired': {
		level: 'info',
		meaning: 'This controller owns a shard from now on, under a new fencing token.',
		action: 'None; many in a row mean owners that come and go.',
	},
	'shard lost': {
		level: 'info',
		meaning: 'This controller owns the shard no more; `why` tells the reason.',
		action: 'For `the grant ended`: check the state service and the network to it.',
	},
	'shard reconciling': {
		level: 'info',
		meaning: "A new owner rebuilds the shard from the records and the machines' heartbeats.",
		action: 'None.',
	},
	'shard reconciled': {
		level: 'info',
		meaning: 'Every machine that may hold tasks of a former owner is accounted for; work goes on.',
		action: 'If it is missing for longer than an agent lease: see unreachable machines.',
	},
	'workers reachable again': {
		level: 'info',
		meaning: 'After a handoff because of unheard machines, machines answer this controller again.',
		action: 'None.',
	},
	'job accepted': { level: 'info', meaning: 'A submission is durable.', action: 'None.' },
	'submission rejected': {
		level: 'info',
		meaning: 'A submission was rejected; `why` tells the reason.',
		action: 'For `too many are waiting`: the change rate of the state service is used up.',
	},
	'job terminal': { level: 'info', meaning: 'A job is done or cancelled (`how`).', action: 'None.' },
	'job migrating': {
		level: 'info',
		meaning: 'A waiting job goes to another shard that would serve it much sooner.',
		action: 'None.',
	},
	'job quarantined': {
		level: 'info',
		meaning: 'A job failed wherever it was tried; it gets one trial at a time until its first success.',
		action: 'Tell its owner: the job was probably submitted with a mistake.',
	},
	'job held': {
		level: 'info',
		meaning: 'An admission check holds the job back.',
		action: 'None; the check asks again.',
	},
	'job held without an answer': {
		level: 'info',
		meaning: 'An admission check gave no answer and its settings say to hold.',
		action: 'Look at the plug-in.',
	},
	'admission check passed': {
		level: 'info',
		meaning: 'An admission check releases the job.',
		action: 'None.',
	},
	'admission check skipped': {
		level: 'info',
		meaning: 'A submission was admitted though a check gave no answer in time.',
		action: 'Look at the plug-in.',
	},
	'machine booted': { level: 'info', meaning: 'The first heartbeat of a machine.', action: 'None.' },
	'machines adopted': {
		level: 'info',
		meaning: 'Machines without a record now belong to a shard.',
		action: 'None.',
	},
	'preemption notice': {
		level: 'info',
		meaning: 'The cloud takes a spot machine back in `noticeS` seconds.',
		action: 'None.',
	},
	'scale-out requested': { level: 'info', meaning: 'Machines are being rented.', action: 'None.' },
	'scale-out answered': {
		level: 'info',
		meaning: 'The cloud answered a rental.',
		action: 'If refusals repeat: the offer has no capacity.',
	},
	'machines releasing': {
		level: 'info',
		meaning: 'Machines are being returned, each with the reason.',
		action: 'For `silent`: see unreachable machines.',
	},
	'machine consolidating': {
		level: 'info',
		meaning: 'A half-empty machine is emptied so that it can be returned.',
		action: 'None.',
	},
	'faulty machine draining': {
		level: 'info',
		meaning: 'Tasks of several jobs failed on the machine; it is drained and returned.',
		action: "None; if it repeats for a machine type, tell the cloud's operator.",
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
		meaning: 'A machine rejected a start; `cause` is its reason.',
		action: "For `unknown-job`: the job's description has not been uploaded.",
	},
	'agent lease expired': {
		level: 'info',
		meaning: "The machine's lease has expired: its tasks are gone and may start elsewhere.",
		action: 'Check the machine and the network to it.',
	},
	'task disappeared': {
		level: 'debug',
		meaning: 'A heartbeat no longer lists an attempt that was there.',
		action: 'None.',
	},
	'record format upgraded': {
		level: 'info',
		meaning: 'Every controller knows the second format of the records; they move to it.',
		action: 'None.',
	},
	'record migration completed': {
		level: 'info',
		meaning: 'All terminal states are on pages or in the archive.',
		action: 'None.',
	},
	'jobs archived': {
		level: 'info',
		meaning: 'Terminal states went into the archive and left memory.',
		action: 'None.',
	},
	'open jobs dropped': {
		level: 'info',
		meaning:
			'Jobs that were open here are over and archived: this controller missed changes and read all records anew. `count` of them, and the first `uids`.',
		action: 'Look why it missed more changes than the state service keeps: a long cut or standstill.',
	},
	'archive read failed': {
		level: 'error',
		meaning: 'A page of the archive could not be read.',
		action: 'Run `heathroad state check`.',
	},
	'archival failed': {
		level: 'error',
		meaning: 'A step of the archival failed; the next tick begins anew.',
		action: 'If it repeats: run `heathroad state check`.',
	},
	'unsupported record format': {
		level: 'error',
		meaning: 'The records are of a format that this version does not know.',
		action: 'Run the newer version.',
	},
	'unexpected error': {
		level: 'error',
		meaning: "An error of the program's own; the shards are acquired and reconciled anew.",
		action: 'Report it with its stack.',
	},
	'gRPC server listening': { level: 'info', meaning: 'The gRPC listener is open.', action: 'None.' },
	'gRPC listener failed': {
		level: 'error',
		meaning: 'The gRPC listener reported an error after it had opened; it goes on if it can.',
		action: 'For `EMFILE`: raise the limit of open files. Restart if streams are refused.',
	},
	'stream cursor rejected': {
		level: 'info',
		meaning:
			'A stream could not begin at its cursor; `why` tells the reason, `revision` what is known here. Its reader begins anew with the present state.',
		action:
			'For `out of range`: the reader was away for longer than terminal states are kept ([grpc] history), or this controller restarted since they were archived.',
	},
	'stream began': {
		level: 'debug',
		meaning:
			"A stream of a watch began at `cursor`, or with the present state, at this `revision`. `watchId` is the client's, the same for all streams of a watch over all controllers.",
		action: 'None.',
	},
	'stream ended': {
		level: 'debug',
		meaning:
			'A stream of a watch ended and can be resumed at `cursor`; if that is empty, it never began. `isComplete`: the terminal state of every named job was sent.',
		action: 'To follow a reader that missed an event: the lines of its `watchId` at all controllers.',
	},
	'slow stream closed': {
		level: 'info',
		meaning: 'A stream was closed because its reader did not keep up.',
		action: 'The client resumes with its cursor.',
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
	'controller stopped': { level: 'info', meaning: 'The process ends.', action: 'None.' },
	'plug-in directory unreadable': {
		level: 'error',
		meaning: 'The plug-in directory could not be read.',
		action: 'Check the directory and its rights.',
	},
	'plug-in invalid': {
		level: 'error',
		meaning: 'A plug-in or its section is invalid; `what` tells why.',
		action: 'Correct it.',
	},
	'plug-in removed': {
		level: 'error',
		meaning: 'The directory of a plug-in is gone; its jobs are treated as its settings say.',
		action: 'Put it back, or disable it.',
	},
	'plug-in disabled': { level: 'info', meaning: 'An operator disabled the plug-in.', action: 'None.' },
	'plug-in enabled': { level: 'info', meaning: 'An operator enabled the plug-in.', action: 'None.' },
	'plug-in version active': {
		level: 'info',
		meaning: 'A version of a plug-in answers calls from now on.',
		action: 'None.',
	},
	'plug-in loading': { level: 'info', meaning: 'A version of a plug-in is being loaded.', action: 'None.' },
	'plug-in load failed': { level: 'error', meaning: 'A version could not be loaded.', action: 'See `why`.' },
	'plug-in version rejected': {
		level: 'error',
		meaning: 'A new version failed its probation; the former one stays.',
		action: 'See `why`.',
	},
	'plug-in version kept': { level: 'info', meaning: 'A new version passed its probation.', action: 'None.' },
	'plug-in call failed': { level: 'info', meaning: 'One call failed.', action: 'None for single failures.' },
	'plug-in circuit opened': {
		level: 'error',
		meaning: 'The plug-in failed too often and is not asked for a while.',
		action: 'Look at the plug-in.',
	},
} as const satisfies Record<string, LogEventInfo>

/** Name of an event. */
export type LogEvent = keyof typeof LOG_EVENTS

/** Writes a log line; `fields` are the event's own, named in its `meaning` where they need explaining. */
export type Log = (level: LogLevel, event: LogEvent, fields?: Record<string, unknown>) => void
