/**
 * Commands to a machine's agent, sent in responses to heartbeats (`/checkin`) and in requests of the controller
 * (`POST /commands`), which the agent answers with a heartbeat. On the wire the commands are `orders`, the fencing token
 * `fence`, the agent epoch `tenure`, a task `piece` and its attempt `try`.
 */
import { toWireInteger, type WireInteger } from './codec.js'

/**
 * A command for one attempt of a task: `start` it, `kill` it after a grace period in which it may save its progress, or
 * `forget` it once its exit has been recorded.
 */
export type Command =
	| { verb: 'start'; taskName: string; attempt: WireInteger }
	| { verb: 'kill'; taskName: string; attempt: WireInteger; gracePeriodS: number }
	| { verb: 'forget'; taskName: string; attempt: WireInteger }

/**
 * A command that may be sent in a request of the controller. A start may not: a copy of the request that arrives once the
 * agent has forgotten the attempt would start it again (protocol). A response has no late copies: the agent reads one
 * response to each heartbeat, within 4 s, and has one heartbeat in flight.
 */
export type DirectCommand = Exclude<Command, { verb: 'start' }>

const encodeCommand = (command: Command): Record<string, unknown> => {
	const attempt = toWireInteger(command.attempt)
	if (command.verb !== 'kill') return { verb: command.verb, piece: command.taskName, try: attempt }
	return { verb: command.verb, piece: command.taskName, try: attempt, windDownS: command.gracePeriodS }
}

/** Encodes an owner's commands as one message; `agentEpoch` is omitted if the agent knows it. */
export const encodeCommands = (
	fencingToken: WireInteger,
	commands: readonly Command[],
	agentEpoch?: WireInteger,
): Record<string, unknown> => {
	const message: Record<string, unknown> = {
		fence: toWireInteger(fencingToken),
		orders: commands.map(encodeCommand),
	}
	if (agentEpoch !== undefined) message.tenure = toWireInteger(agentEpoch)
	return message
}

/** Maximum number of commands in one response; at about 60 bytes each they stay far below the body limit. */
export const MAX_COMMANDS_PER_RESPONSE = 400
